//! Faults at generated times, in generated numbers and orders, with fixed seeds.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use trefoilgauge::bench::faults::fault::FAULTS;
use trefoilgauge::bench::faults::matrix;
use trefoilgauge::bench::faults::matrix::TimedFault;

/// The number of generated runs.
const RUNS: u64 = 96;
/// The size of the generator's input, in bytes.
const SIZE: u64 = 128;

fn timed_faults(u: &mut Unstructured<'_>) -> Result<Vec<TimedFault>> {
    let mut timed_faults = Vec::new();
    for _ in 0..u.int_in_range(1..=3)? {
        timed_faults.push(TimedFault {
            at_ms: u.int_in_range(1_000..=5_000)?,
            fault: *u.choose(&FAULTS)?,
            subject: u.int_in_range(0..=3)?,
            worker: u.int_in_range(0..=3)?,
        });
    }
    timed_faults.sort_by_key(|timed_fault| timed_fault.at_ms);
    Ok(timed_faults)
}

#[test]
fn no_promise_is_broken_by_faults_at_generated_times() {
    for i in 1..=RUNS {
        let seed = (i.wrapping_mul(0x9E37_79B9) << 32) | SIZE;
        arbtest(|u| {
            let timed_faults = timed_faults(u)?;
            let run = matrix::run_timed(&timed_faults, i);
            assert!(
                run.checks.findings.is_empty(),
                "{timed_faults:?}: {:?}",
                run.checks.findings
            );
            Ok(())
        })
        .seed(seed);
    }
}
