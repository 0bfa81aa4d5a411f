//! The scheduler in simulated worlds with hazards, judged by what upstreams and callers saw.
//!
//! `HAZARD_SEEDS=first..last` runs other seeds, `HAZARDS=name=value,...` changes how often hazards
//! occur, and `HAZARD_MINIMAL=1` removes hazards from the first violation that is found.

#![expect(clippy::unwrap_used, clippy::panic, reason = "helpers of tests")]

mod answers;
mod calamity;
mod capture;
mod checks;
mod engine;
mod feed;
mod hazards;
mod jobs;
mod journal;
mod leader;
mod orders;
mod random;
mod run;
mod slot;
mod store;
mod transport;
mod upstream;
mod world;

use hazards::ALL;
use hazards::Hazard;
use hazards::Hazards;
use std::env;
use std::ops::Range;
use world::World;

/// Runs the worlds of these seeds, and panics if a rule is broken.
fn run_worlds(seeds: Range<u64>, hazards: &Hazards) {
    let mut broken = Vec::new();
    let mut first = None;
    let (mut starts, mut noted) = (0, 0);
    capture::start();
    for seed in seeds.clone() {
        let world = World::run(seed, hazards);
        starts += world.checks.starts;
        noted += world.checks.noted;
        let violations = &world.checks.violations;
        broken.extend(violations.iter().map(|violation| (seed, violation.rule)));
        if first.is_none() && !violations.is_empty() {
            first = Some((seed, world));
        }
    }
    println!("seeds {seeds:?}: {starts} starts, {noted} ends noted, broken {broken:?}");
    if let Some((seed, mut world)) = first {
        let rule = world.checks.violations[0].rule;
        if env::var("HAZARD_MINIMAL").is_ok_and(|text| text == "1") {
            world = minimal(seed, rule, world);
        }
        panic!(
            "{} violations; seed {seed} with {}:\n{}",
            broken.len(),
            world.hazards,
            checks::describe(&world.checks.violations, &world.journal)
        );
    }
}

/// Removes the hazards without which a rule is still broken.
fn minimal(seed: u64, rule: &str, found: World) -> World {
    let mut kept = found;
    for (hazard, _) in ALL {
        let world = World::run(seed, &kept.hazards.clone().with(hazard, 0.0));
        if world.checks.violations.iter().any(|v| v.rule == rule) {
            kept = world;
        }
    }
    kept
}

/// Returns the seeds that the environment selects.
fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = env::var("HAZARD_SEEDS") else {
        return default;
    };
    let (first, last) = text.split_once("..").unwrap();
    first.parse().unwrap()..last.parse().unwrap()
}

fn adjusted(hazards: Hazards) -> Hazards {
    hazards.adjusted(&env::var("HAZARDS").unwrap_or_default())
}

#[test]
fn a_world_without_hazards_breaks_no_rule() {
    run_worlds(0..5, &Hazards::none());
}

#[test]
fn no_rule_is_broken_whatever_strikes() {
    run_worlds(seeds(0..40), &adjusted(Hazards::all()));
}

#[test]
fn no_task_runs_twice_by_a_late_order_at_the_next_process() {
    let hazards = Hazards::none()
        .with(Hazard::SameId, 1.0)
        .with(Hazard::LateOrder, 0.05)
        .with(Hazard::Outlive, 1.0);
    run_worlds(seeds(0..40), &adjusted(hazards));
}

#[test]
fn starts_fit_into_capacities_that_change() {
    let hazards = Hazards::none()
        .with(Hazard::Capacity, 2.0)
        .with(Hazard::Unguarded, 1.0)
        .with(Hazard::SameId, 0.5)
        .with(Hazard::NewId, 0.5)
        .with(Hazard::Cut, 0.5);
    run_worlds(seeds(0..40), &adjusted(hazards));
}

#[test]
fn deadly_tasks_are_given_up() {
    let hazards = Hazards::none()
        .with(Hazard::Deadly, 0.1)
        .with(Hazard::SameId, 0.2)
        .with(Hazard::NewId, 0.2);
    run_worlds(seeds(0..20), &adjusted(hazards));
}

/// Guards against tasks of a cancelled job that a next leader adopts as work.
#[test]
fn no_cancelled_task_lasts_whoever_leads() {
    let hazards = Hazards::all()
        .with(Hazard::Cut, 2.0)
        .with(Hazard::Kill, 2.0)
        .with(Hazard::Lasting, 0.3);
    run_worlds(seeds(75..115), &adjusted(hazards));
}

/// Guards against a second run while a leader on its side of a partition renews the first one.
#[test]
fn no_run_is_settled_while_an_earlier_leader_renews_it() {
    let hazards = Hazards::all()
        .with(Hazard::SameId, 0.0)
        .with(Hazard::NewId, 0.0)
        .with(Hazard::Capacity, 0.0)
        .with(Hazard::Freeze, 0.0)
        .with(Hazard::Cut, 0.0)
        .with(Hazard::StoreCut, 4.0)
        .with(Hazard::Split, 0.4)
        .with(Hazard::Lasting, 0.4);
    run_worlds(seeds(120..160), &adjusted(hazards));
}
