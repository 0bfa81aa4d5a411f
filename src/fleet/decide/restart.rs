//! Straggler mitigation: decides whether a gang starts again because one member is slow.
//!
//! Answers upstreams on which work crawls or stands still: a gang ends with its slowest member, so
//! urgent work there would be late by far. Starting again wastes what all members have
//! done, so it happens early in a run, or not at all.

/// How many times a step of a job is started again because an upstream is slow.
const MAX_RESTARTS: u32 = 2;
/// How much longer waiting has to take than starting again; estimates are rough.
const MIN_GAIN: f64 = 1.5;
/// The progress that a run at the usual speed would have made by now, from which on a run is
/// judged, in percent: progress is reported in whole percents.
const MIN_USUAL_PERCENT: f64 = 6.0;

/// What is known of a gang's slowest run.
#[derive(Debug, Clone, Copy)]
pub(in crate::fleet) struct Straggler {
    /// How long the run has been at work, in milliseconds.
    pub(in crate::fleet) worked_ms: f64,
    /// How long it still takes at its pace, in milliseconds.
    pub(in crate::fleet) left_ms: f64,
    /// How long a run takes at the usual speed, in milliseconds.
    pub(in crate::fleet) usual_ms: f64,
    /// The longest time that stopping it takes, in milliseconds.
    pub(in crate::fleet) stop_ms: f64,
    /// The time until it is late, in milliseconds.
    pub(in crate::fleet) late_ms: f64,
    /// How often the step was started again for this reason.
    pub(in crate::fleet) restarts: u32,
}

impl Straggler {
    /// Returns whether the gang is in time if it starts again, and late by far if it does not.
    pub(in crate::fleet) fn is_worth_restart(&self) -> bool {
        let again_ms = self.stop_ms + self.usual_ms;
        self.restarts < MAX_RESTARTS
            && self.worked_ms * 100.0 >= MIN_USUAL_PERCENT * self.usual_ms
            && again_ms <= self.late_ms
            && self.left_ms >= MIN_GAIN * self.late_ms.max(again_ms)
    }
}
