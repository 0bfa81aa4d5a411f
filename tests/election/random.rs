//! Random faults in small and large worlds.

use super::settled;
use super::world::Planted;
use super::world::Served;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// The stated bound: one leader leads this long after the last fault, in milliseconds.
const CALM_MS: u64 = 6_000;

fn play(seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let count = [7, 9, 45, 147][random.random_range(0..4)];
    let mut world = settled(count, Planted::Nothing);
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
            3 => world.leave(hit),
            4 => {
                for vm in (0..count).filter(|_| random.random_bool(0.35)) {
                    world.treat(vm, Served::Declined);
                }
            }
            5 => world.treat(hit, Served::Silent),
            6 => {
                for vm in (0..count).filter(|_| random.random_bool(0.4)) {
                    world.vms[vm].cut = true;
                }
            }
            _ => world.lose_each = random.random_range(2..5),
        }
        faults += 1;
        world.run(random.random_range(0..5_000));
    }
    world.lose_each = 0;
    for vm in 0..count {
        world.treat(vm, Served::Yes);
        world.vms[vm].cut = false;
        if !world.vms[vm].is_able() {
            world.kill(vm, 300);
        }
    }
    faults += 1;
    // The longest freeze or power cut ends within this.
    world.run(6_000 + CALM_MS);
    assert!(world.leader().is_some(), "seed {seed}: nobody leads");
    // A fault of the leader costs one epoch; one that also meets a hand-over or a late append, more.
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
        play(seed);
    }
}
