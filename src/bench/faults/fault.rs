//! The faults, and how each is injected into the simulation.

use super::vm::Life;
use super::workload::MAIN_JOB;
use super::workload::POOL_CHANGE;
use super::workload::RACING_OBJECT;
use super::world::World;
use crate::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The duration of a fault, in milliseconds; longer than any lease in the simulation.
pub const FAULT_MS: u64 = 4_000;
/// The time from the kill of a process to its restart, in milliseconds.
pub const DOWN_MS: u64 = 1_000;

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A process is killed without warning, and restarts with an empty state.
    Kill,
    /// A process is paused for longer than any lease, and resumes.
    Freeze,
    /// A process can append to the log but cannot read it.
    CutLogReads,
    /// A process can read the log but cannot append to it.
    CutLogAppends,
    /// A process can neither read the log nor append to it.
    CutLog,
    /// The heartbeats of a process do not reach its peers.
    CutPeersOut,
    /// Heartbeats between a process and its peers are lost in both directions.
    CutPeers,
    /// A process reaches the workers, but their responses are lost.
    CutWorkersIn,
    /// A process cannot reach the workers.
    CutWorkers,
    /// A process reaches the runners, but their responses are lost.
    CutRunnersIn,
    /// A process cannot reach the runners.
    CutRunners,
    /// A worker is paused for longer than any lease, and resumes.
    WorkerFreeze,
    /// A worker restarts and loses all its tasks.
    WorkerKill,
    /// A worker fails every task that it starts.
    WorkerFails,
    /// The log fails every call.
    LogOutage,
    /// The log responds to calls late, and records become readable late.
    LogSlow,
    /// The answers of appends are lost after the append took effect.
    AnswerLost,
    /// Retention removes all records that the newest checkpoint covers, while a process is paused.
    Retention,
    /// The list of VMs reverts to an older one.
    ListBack,
    /// Two operators change the same object at the same time.
    RacingOperators,
    /// Every message is delivered twice, the second time late.
    Duplicate,
    /// Messages overtake each other.
    Reorder,
    /// The answers of runners arrive late.
    LateAnswer,
    /// The callers disconnect, and all gangs are cancelled.
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

/// The pairs of faults that are injected together.
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

/// Injects a fault now: into process `subject`, or into a worker, the log or the messages.
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
                world.checks.record_kill(now_ms, &writer);
            }
            world.record_hit_if(fault, open);
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
            world.record_hit_if(fault, held);
        }
        Fault::WorkerFails => world.workers[worker].failing = true,
        Fault::LogOutage => world.log.down_ms = end_ms,
        Fault::LogSlow => world.log.slow_ms = end_ms,
        Fault::AnswerLost => world.log.lost_answers = 3,
        Fault::Retention => {
            let other = world.sibling(subject);
            if world.vms[other].is_up() {
                world.vms[other].life = Life::Frozen(end_ms);
            }
            world.expire_at = Some(end_ms - 50);
        }
        Fault::ListBack => world.old_list_ms = end_ms,
        Fault::RacingOperators => {
            let version = world
                .log
                .reference
                .catalog
                .version(RACING_OBJECT.0, RACING_OBJECT.1);
            world.racing_offset = Some(world.log.config.len() as Offset);
            for slots in [3, 4] {
                let text = POOL_CHANGE
                    .replace("VERSION", &version.to_string())
                    .replace("SLOTS", &slots.to_string());
                world.publish(text);
            }
        }
        Fault::Duplicate => world.duplicate_ms = end_ms,
        Fault::Reorder => world.reorder_ms = end_ms,
        Fault::LateAnswer => world.late_ms = end_ms,
        Fault::Cancel => world.cancel_all(),
    }
}
