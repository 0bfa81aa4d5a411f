//! The operator orders the upkeep of machines; the leading machine is stopped as planned just after
//! it has ordered one of them.

use super::world::Size;
use super::world::World;
use super::world::wait;
use crate::Verdict;
use crate::record::Record;
use nix::sys::signal::Signal;
use serde_json::json;
use std::path::PathBuf;

/// `lease-ms` of the settings.
const LEASE_MS: u64 = 3_000;
/// `contact-ms` of the settings.
const CONTACT_MS: u64 = 3_000;
/// How long after the first order the leading machine is stopped, in milliseconds.
const STOP_AFTER_MS: u64 = 300;

pub(crate) async fn run(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let size = Size {
        vms: 3,
        runners: 6,
        clock_rate: 1_000,
        max_hold_ms: 6_000,
        with_cloud: true,
        verbose: false,
        labelled: 0,
        priority: 1,
    };
    let Some(mut world) = World::start(program, size, record).await else {
        return Verdict::NotRun("the machines did not become ready".to_owned());
    };
    wait(CONTACT_MS + 2_000).await;
    let leader = world.leader();
    let wave =
        json!({"wave": 1, "machines": ["m-0", "m-1", "m-2"], "within-s": 60.0, "maximum": 1});
    record.note(format!("operator: wave {wave}"));
    world
        .store
        .put("keyed.op", "wave/1", wave.to_string().as_bytes());
    let cloud = world.cloud.clone().unwrap();
    for _ in 0..300 {
        if !cloud.orders().is_empty() {
            break;
        }
        wait(50).await;
    }
    if cloud.orders().is_empty() {
        return Verdict::NotRun("no machine was ordered down".to_owned());
    }
    wait(STOP_AFTER_MS).await;
    if trouble {
        world.vms[leader].signal(Signal::SIGTERM);
    }
    for _ in 0..150 {
        wait(100).await;
        if trouble && world.vms[leader].has_ended() {
            world.vms[leader].restart();
        }
    }
    world.note_logs();
    let orders = cloud.orders();
    for (number, later) in orders.iter().enumerate() {
        let earlier = orders[..number]
            .iter()
            .rev()
            .find(|order| order.machine == later.machine);
        let Some(earlier) = earlier.filter(|order| order.holder != later.holder) else {
            continue;
        };
        let gap = later.at.duration_since(earlier.at).as_millis();
        if gap < u128::from(LEASE_MS) {
            return Verdict::Broken(format!(
                "{} was ordered by {} (token {}) at {} ms and by {} (token {}) {gap} ms later, within lease-ms {LEASE_MS}",
                later.machine,
                earlier.holder,
                earlier.token,
                earlier.at_ms,
                later.holder,
                later.token
            ));
        }
    }
    Verdict::Held(format!(
        "{} orders, no two holders within lease-ms",
        orders.len()
    ))
}
