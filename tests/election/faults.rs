//! Single faults, at the fleet sizes of the deployments.

use super::with_leader;
use super::world::Bug;
use super::world::StoreAccess;
use super::world::World;

const FLEET_SIZES: [usize; 4] = [7, 45, 147, 299];
/// The target is a first response within 1.5 s of a power cut; the election may take all of it but
/// the time that upstreams need to respond.
const MAX_FAILOVER_MS: u64 = 1_400;

/// Returns the longest period without a leader since `from`, in milliseconds.
fn longest_gap(world: &World, from: u64) -> u64 {
    assert!(world.leader().is_some(), "no leader");
    let gaps = world.gaps.iter().filter(|(_, end)| *end > from);
    gaps.map(|(start, end)| end - start).max().unwrap_or(0)
}

/// Applies a fault to the leader, or to the fleet around it. Returns the epochs that it caused, the
/// longest period without a leader, and the number of appends.
fn run_fault(count: usize, bug: Bug, fault: impl FnOnce(&mut World, usize)) -> (u64, u64, u64) {
    let mut world = with_leader(count, bug);
    let (from, epochs, appends) = (world.now, world.claims(), world.appends);
    let leader = world.leader().unwrap();
    fault(&mut world, leader);
    world.run(20_000);
    (
        world.claims() - epochs,
        longest_gap(&world, from),
        world.appends - appends,
    )
}

#[test]
fn the_first_leader_is_one_of_the_largest_and_stays() {
    for count in FLEET_SIZES {
        let mut world = with_leader(count, Bug::None);
        world.run(60_000);
        assert_eq!(world.claims(), 1, "{count}");
        assert_eq!(
            world.leader().unwrap().is_multiple_of(10),
            count >= 10,
            "{count}"
        );
    }
}

#[test]
fn a_leader_that_loses_power_is_replaced_once_within_the_limit() {
    for count in FLEET_SIZES {
        let (epochs, gap, appends) = run_fault(count, Bug::None, |world, leader| {
            world.power_off(leader, 5_000);
        });
        assert_eq!(epochs, 1, "{count}");
        assert!(gap <= MAX_FAILOVER_MS, "{count}: {gap}");
        assert!(appends <= 12, "{count}: {appends}");
    }
}

#[test]
fn a_killed_leader_is_replaced_once_within_800_ms() {
    for count in FLEET_SIZES {
        let (epochs, gap, appends) = run_fault(count, Bug::None, |world, leader| {
            world.kill(leader, 1_000);
        });
        assert_eq!(epochs, 1, "{count}");
        assert!(gap <= 800, "{count}: {gap}");
        assert!(appends <= 20, "{count}: {appends}");
    }
}

#[test]
fn a_frozen_leader_is_replaced_once() {
    for count in FLEET_SIZES {
        let (epochs, gap, _) = run_fault(count, Bug::None, |world, leader| {
            world.freeze(leader, 4_000);
        });
        assert_eq!(epochs, 1, "{count}");
        assert!(gap <= MAX_FAILOVER_MS, "{count}: {gap}");
    }
}

#[test]
fn a_leader_that_pauses_for_less_than_half_a_second_stays() {
    for count in FLEET_SIZES {
        let (epochs, ..) = run_fault(count, Bug::None, |world, leader| {
            world.freeze(leader, 450);
        });
        assert_eq!(epochs, 0, "{count}");
    }
}

#[test]
fn a_leader_that_alone_loses_the_store_is_replaced_once() {
    for access in [StoreAccess::Declined, StoreAccess::Silent] {
        for count in FLEET_SIZES {
            let (epochs, gap, _) = run_fault(count, Bug::None, |world, leader| {
                world.set_access(leader, access);
            });
            assert_eq!(epochs, 1, "{count} {access:?}");
            assert!(gap <= 3_000, "{count} {access:?}: {gap}");
        }
    }
}

#[test]
fn an_outage_of_the_store_changes_no_leader() {
    for count in FLEET_SIZES {
        let (epochs, ..) = run_fault(count, Bug::None, |world, _| {
            for vm in 0..count {
                world.set_access(vm, StoreAccess::Declined);
            }
            world.run(4_000);
            for vm in 0..count {
                world.set_access(vm, StoreAccess::Normal);
            }
        });
        assert_eq!(epochs, 0, "{count}");
    }
}

#[test]
fn a_planned_stop_hands_the_lead_to_the_next_largest_without_a_wait() {
    for count in FLEET_SIZES {
        let mut next = None;
        let (epochs, gap, _) = run_fault(count, Bug::None, |world, leader| {
            world.begin_shutdown(leader);
            world.run(4_000);
            next = world.leader();
            world.kill(leader, 500);
        });
        assert_eq!(epochs, 1, "{count}");
        assert!(gap <= 600, "{count}: {gap}");
        assert!(count < 10 || next.unwrap().is_multiple_of(10), "{count}");
    }
}

#[test]
fn vms_that_cannot_reach_the_leader_do_not_replace_it() {
    for count in FLEET_SIZES {
        let (epochs, _, appends) = run_fault(count, Bug::None, |world, leader| {
            for vm in (0..count).filter(|vm| *vm != leader && vm % 5 < 2) {
                world.vms[vm].cut = true;
            }
            world.run(9_000);
            for vm in 0..count {
                world.vms[vm].cut = false;
            }
        });
        assert_eq!(epochs, 0, "{count}");
        assert!(appends <= 60, "{count}: {appends}");
    }
}

#[test]
fn a_small_leader_hands_over_once_to_a_large_vm() {
    let mut world = World::new(147, Bug::None);
    for vm in (0..147).step_by(10) {
        world.set_access(vm, StoreAccess::Declined);
    }
    world.run(5_000);
    let small = world.leader().unwrap();
    assert_ne!(small % 10, 0);
    for vm in (0..147).step_by(10) {
        world.set_access(vm, StoreAccess::Normal);
    }
    let from = world.now;
    world.run(30_000);
    assert!(world.leader().unwrap().is_multiple_of(10));
    assert_eq!(world.claims(), 2);
    assert!(longest_gap(&world, from) <= 600);
}

#[test]
fn a_rolling_restart_costs_about_one_epoch_for_each_leader_that_stops() {
    let mut world = with_leader(45, Bug::None);
    let mut stopped_leaders = 0;
    for vm in 0..45 {
        stopped_leaders += u64::from(world.leader() == Some(vm));
        world.begin_shutdown(vm);
        world.run(400);
        world.kill(vm, 300);
        world.run(400);
    }
    world.run(5_000);
    assert!(world.leader().is_some());
    // One more for the first leader, and one for a small VM that led while all large ones were
    // shutting down.
    assert!(
        world.claims() <= stopped_leaders + 2,
        "{} {stopped_leaders}",
        world.claims()
    );
}

/// Shows that the epoch count detects a bug: if VMs do not report that they are loading, as in
/// an earlier version of the election, others claim the lead from them again and again.
#[test]
fn the_epoch_count_reveals_vms_that_load_silently() {
    let small_leaders = |bug| {
        let mut world = World::new(147, bug);
        for vm in (0..147).step_by(10) {
            world.set_access(vm, StoreAccess::Declined);
        }
        world.run(20_000);
        world.claims()
    };
    assert_eq!(small_leaders(Bug::None), 1);
    assert!(small_leaders(Bug::SilentLoading) > 3);
}
