//! Elections in worlds of 7 to 300 VMs: one leader soon after each fault, and few epochs.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

mod faults;
mod random;
mod world;

use world::Planted;
use world::World;

/// Runs a world until its first leader is settled.
fn settled(count: usize, planted: Planted) -> World {
    let mut world = World::new(count, planted);
    world.run(6_000);
    assert!(world.leader().is_some());
    world
}
