//! Random faults in small and large fleets.

use super::with_leader;
use super::world::Bug;
use super::world::StoreAccess;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// The time after the last fault within which there must be one leader, in milliseconds.
const RECOVERY_MS: u64 = 6_000;

fn run_seed(seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let count = [7, 9, 45, 147][random.random_range(0..4)];
    let mut world = with_leader(count, Bug::None);
    let mut faults = 0;
    for _ in 0..random.random_range(1..8) {
        let leader = world.leader();
        let any = random.random_range(0..count);
        let hit = if random.random_bool(0.6) {
            leader.unwrap_or(any)
        } else {
            any
        };
        let ms = random.random_range(100..6_000);
        match random.random_range(0..8) {
            0 => world.freeze(hit, ms),
            1 => world.kill(hit, 300),
            2 => world.power_off(hit, ms),
            3 => world.begin_shutdown(hit),
            4 => {
                for vm in (0..count).filter(|_| random.random_bool(0.35)) {
                    world.set_access(vm, StoreAccess::Declined);
                }
            }
            5 => world.set_access(hit, StoreAccess::Silent),
            6 => {
                for vm in (0..count).filter(|_| random.random_bool(0.4)) {
                    world.vms[vm].cut = true;
                }
            }
            _ => world.lose_every = random.random_range(2..5),
        }
        faults += 1;
        world.run(random.random_range(0..5_000));
    }
    world.lose_every = 0;
    for vm in 0..count {
        world.set_access(vm, StoreAccess::Normal);
        world.vms[vm].cut = false;
        if !world.vms[vm].keeps_running() {
            world.kill(vm, 300);
        }
    }
    faults += 1;
    // The longest freeze or power cut ends within 6 s.
    world.run(6_000 + RECOVERY_MS);
    assert!(world.leader().is_some(), "seed {seed}: no leader");
    // A fault of the leader costs one epoch, or more if it coincides with a hand-over or a late
    // append.
    let epochs = world.claims();
    assert!(
        epochs <= 2 + 2 * faults,
        "seed {seed}: {epochs} epochs for {faults} faults"
    );
    world.run(30_000);
    let late = world.claims() - epochs;
    assert!(
        late <= 1,
        "seed {seed}: {late} leaders changed without a fault"
    );
}

#[test]
fn one_leader_leads_soon_after_the_last_fault() {
    for seed in 0..200 {
        run_seed(seed);
    }
}
