//! The check of the rule TWICE for runs at the same time.

use crate::Verdict;
use crate::runner::Run;
use std::time::Instant;

/// Checks that no two runs of a task were at work at the same time.
pub(super) fn overlap(runs: &[Run]) -> Verdict {
    let now = Instant::now();
    for (number, later) in runs.iter().enumerate() {
        for earlier in runs[..number].iter().filter(|run| run.task == later.task) {
            let end = earlier.end.map_or(now, |(at, _)| at);
            if end > later.start {
                let later_end = later.end.map_or(now, |(at, _)| at);
                let both = end.min(later_end).duration_since(later.start).as_millis();
                return Verdict::Broken(format!(
                    "run {} of {} at {} and run {} at {} were at work at the same time for {both} ms",
                    earlier.run, earlier.task, earlier.runner, later.run, later.runner
                ));
            }
        }
    }
    Verdict::Held(format!("{} runs, no two at the same time", runs.len()))
}
