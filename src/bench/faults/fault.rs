//! The faults, and how each acts on the world.

use super::plan::CONFIG_AGAIN;
use super::plan::CONFIG_RACING;
use super::plan::MAIN_JOB;
use super::vm::Life;
use super::world::World;
use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// How long a fault lasts, in milliseconds; longer than any lease here.
pub const FAULT_MS: u64 = 4_000;
/// How long a killed process is gone, in milliseconds.
pub const DOWN_MS: u64 = 1_000;

/// Something that fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A process dies at once, and comes again with nothing.
    Kill,
    /// A process is paused past every lease, and wakes.
    Freeze,
    /// A process can append and cannot read.
    CutLogReads,
    /// A process can read and cannot append.
    CutLogAppends,
    /// A process neither reads nor appends.
    CutLog,
    /// A process is not heard by its peers.
    CutPeersOut,
    /// A process neither hears its peers nor is heard.
    CutPeers,
    /// A process reaches the workers, and their answers are lost.
    CutWorkersIn,
    /// A process does not reach the workers.
    CutWorkers,
    /// A process reaches the runners, and their answers are lost.
    CutRunnersIn,
    /// A process does not reach the runners.
    CutRunners,
    /// A worker is paused past every lease, and wakes.
    WorkerFreeze,
    /// A worker restarts with nothing.
    WorkerKill,
    /// A worker fails everything that it starts.
    WorkerFails,
    /// The log fails every call.
    LogOutage,
    /// The log answers late and shows records late.
    LogSlow,
    /// The answers of appends are lost after their effect.
    AnswerLost,
    /// Retention passes all that the newest checkpoint covers, while a process is paused.
    Retention,
    /// The list of VMs goes back to an older one.
    ListBack,
    /// Two operators change the same object at the same time.
    RacingOperators,
    /// Every message comes twice, the second time late.
    Duplicate,
    /// Messages overtake each other.
    Reorder,
    /// The answers of runners come late.
    LateAnswer,
    /// The callers go away and the job is cancelled.
    Cancel,
}

/// All faults.
pub const FAULTS: [Fault; 24] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::CutLogReads,
    Fault::CutLogAppends,
    Fault::CutLog,
    Fault::CutPeersOut,
    Fault::CutPeers,
    Fault::CutWorkersIn,
    Fault::CutWorkers,
    Fault::CutRunnersIn,
    Fault::CutRunners,
    Fault::WorkerFreeze,
    Fault::WorkerKill,
    Fault::WorkerFails,
    Fault::LogOutage,
    Fault::LogSlow,
    Fault::AnswerLost,
    Fault::Retention,
    Fault::ListBack,
    Fault::RacingOperators,
    Fault::Duplicate,
    Fault::Reorder,
    Fault::LateAnswer,
    Fault::Cancel,
];

/// The pairs of faults that come together.
pub const PAIRS: [[Fault; 2]; 10] = [
    [Fault::Kill, Fault::LogOutage],
    [Fault::Kill, Fault::AnswerLost],
    [Fault::Freeze, Fault::WorkerKill],
    [Fault::Freeze, Fault::Retention],
    [Fault::CutLog, Fault::CutPeers],
    [Fault::CutPeers, Fault::WorkerFreeze],
    [Fault::CutRunnersIn, Fault::LogOutage],
    [Fault::Duplicate, Fault::Reorder],
    [Fault::AnswerLost, Fault::Duplicate],
    [Fault::Cancel, Fault::Kill],
];

/// Lets a fault act on `subject` from now on.
pub fn inject(world: &mut World, fault: Fault, subject: usize, worker: usize) {
    let now_ms = world.now_ms;
    let end_ms = now_ms + FAULT_MS;
    let open = world.vms[subject].is_up();
    let entry = if subject < 2 { subject } else { 0 };
    let placer = match subject {
        0 | 1 => world.proposer(MAIN_JOB).unwrap_or(2),
        _ => subject,
    };
    match fault {
        Fault::Kill => {
            world.kill(subject, now_ms + DOWN_MS);
            if subject >= 2 {
                let writer = world.vms[subject].ctx.writer.clone();
                world.checks.killed(now_ms, &writer);
            }
            world.hit_if(fault, open);
        }
        Fault::Freeze => {
            if open {
                world.vms[subject].life = Life::Frozen(end_ms);
            }
        }
        Fault::CutLogReads => world.vms[subject].cuts.reads = end_ms,
        Fault::CutLogAppends => world.vms[subject].cuts.appends = end_ms,
        Fault::CutLog => {
            world.vms[subject].cuts.reads = end_ms;
            world.vms[subject].cuts.appends = end_ms;
        }
        Fault::CutPeersOut => world.vms[subject].cuts.peers_out = end_ms,
        Fault::CutPeers => {
            world.vms[subject].cuts.peers_out = end_ms;
            world.vms[subject].cuts.peers_in = end_ms;
        }
        Fault::CutWorkersIn => world.vms[placer].cuts.workers_in = end_ms,
        Fault::CutWorkers => {
            world.vms[placer].cuts.workers_out = end_ms;
            world.vms[placer].cuts.workers_in = end_ms;
        }
        Fault::CutRunnersIn => world.vms[entry].cuts.runners_in = end_ms,
        Fault::CutRunners => {
            world.vms[entry].cuts.runners_out = end_ms;
            world.vms[entry].cuts.runners_in = end_ms;
        }
        Fault::WorkerFreeze => world.workers[worker].frozen_ms = end_ms,
        Fault::WorkerKill => {
            let held = !world.workers[worker].tasks.is_empty();
            world.workers[worker].tasks.clear();
            world.workers[worker].boot += 1;
            world.hit_if(fault, held);
        }
        Fault::WorkerFails => world.workers[worker].failing = true,
        Fault::LogOutage => world.log.down_ms = end_ms,
        Fault::LogSlow => world.log.slow_ms = end_ms,
        Fault::AnswerLost => world.log.lose = 3,
        Fault::Retention => {
            let other = world.sibling(subject);
            if world.vms[other].is_up() {
                world.vms[other].life = Life::Frozen(end_ms);
            }
            world.expire_at = Some(end_ms - 50);
        }
        Fault::ListBack => world.list_back = end_ms,
        Fault::RacingOperators => {
            let version = world
                .log
                .truth
                .catalog
                .version(CONFIG_RACING.0, CONFIG_RACING.1);
            world.race_from = Some(world.log.config.len() as Offset);
            for slots in [3, 4] {
                let text = CONFIG_AGAIN
                    .replace("VERSION", &version.to_string())
                    .replace("SLOTS", &slots.to_string());
                world.publish(text);
            }
        }
        Fault::Duplicate => world.twice_ms = end_ms,
        Fault::Reorder => world.jitter_ms = end_ms,
        Fault::LateAnswer => world.late_ms = end_ms,
        Fault::Cancel => world.cancel_all(),
    }
}
