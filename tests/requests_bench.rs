//! Replays of short request traces: invariants that hold on every seed, and a test that the counts
//! of violations detect them.

use trefoilgauge::bench::Completion;
use trefoilgauge::bench::Deployment;
use trefoilgauge::bench::report::quantiles;
use trefoilgauge::bench::requests::completions;
use trefoilgauge::bench::requests::count;
use trefoilgauge::bench::requests::doubled;
use trefoilgauge::bench::requests::replay::Replay;
use trefoilgauge::bench::requests::replay::RequestEnd;
use trefoilgauge::bench::requests::trace::Phase;
use trefoilgauge::bench::requests::trace::Trace;
use trefoilgauge::bench::requests::untrue;
use trefoilgauge::reducer::effect::Ran;

const SHORT: [Phase; 3] = [
    Phase::without_faults(2_000, 60),
    Phase::without_faults(6_000, 180),
    Phase {
        len_ms: 4_000,
        load_pct: 60,
        faults: true,
        outage: false,
    },
];

fn p99(found: &[Completion], kind: usize) -> u64 {
    quantiles(&found[kind].samples_ms).map_or(0, |found| found.p99)
}

#[test]
fn no_request_is_lost_or_run_twice_and_no_refusal_is_untrue() {
    for deployment in [Deployment::Instituto, Deployment::Atlas] {
        for seed in 1..=2 {
            let trace = Trace::generate(deployment, seed, &SHORT);
            let seen = Replay::run(&trace, true, 0);
            let lost = count(&seen, |fate| *fate == RequestEnd::Unanswered);
            let actual = (lost, doubled(&trace, &seen), untrue(&seen));
            assert_eq!((0, 0, 0), actual, "{deployment:?} {seed}");
        }
    }
}

#[test]
fn the_p99_of_the_urgent_kind_is_at_most_half_of_first_come_first_served() {
    let trace = Trace::generate(Deployment::Instituto, 3, &SHORT);
    let own = completions(&trace, &Replay::run(&trace, true, 0));
    let plain = completions(&trace, &Replay::run(&trace, false, 0));
    assert!(p99(&own, 0) * 2 <= p99(&plain, 0));
}

#[test]
fn the_counts_detect_planted_violations() {
    let trace = Trace::generate(Deployment::Instituto, 1, &[Phase::without_faults(500, 50)]);
    let mut seen = Replay::run(&trace, true, 0);
    let urgent = trace.jobs.iter().position(|job| job.kind == 0);
    let at = urgent.unwrap_or(0);
    seen.runs[at] = 2;
    seen.ends[at] = RequestEnd::Refused(Ran::No);
    assert_eq!((1, 1), (doubled(&trace, &seen), untrue(&seen)));
    seen.ends[at] = RequestEnd::Unanswered;
    assert_eq!(1, count(&seen, |fate| *fate == RequestEnd::Unanswered));
}
