//! What may go wrong in a simulated world, and how often.

use std::fmt::Display;
use std::fmt::Formatter;

/// One kind of hazard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Hazard {
    /// Restarts of each upstream under the same identity.
    SameId,
    /// Restarts of each upstream under a new identity at the same address.
    NewId,
    /// The probability that a new process is listed in discovery only after seconds.
    LateEntry,
    /// The probability that an order is lost before it arrives.
    LostOrder,
    /// The probability that the response to an order is lost.
    LostAnswer,
    /// The probability that an order is carried out seconds later.
    LateOrder,
    /// The probability that a late order reaches the process that was started meanwhile.
    Outlive,
    /// The probability that a response is delayed, so that later ones overtake it.
    Overtake,
    /// Times at which each upstream is unreachable for seconds.
    Cut,
    /// Changes of each upstream's capacity.
    Capacity,
    /// Times at which discovery drops the entry of each live upstream.
    Unlisted,
    /// Leaders that are killed.
    Kill,
    /// Leaders that are suspended and resume.
    Freeze,
    /// Leaders that lose the store while another VM takes over.
    StoreCut,
    /// The probability that an upstream is on the side of a leader that loses the store: no other
    /// leader reaches it, and that leader reaches no others.
    Split,
    /// The probability that an append gets no answer, stored or not.
    LostAppend,
    /// The probability that an append is slow.
    SlowAppend,
    /// The probability that a job has a task that crashes its upstreams.
    Deadly,
    /// The probability that a run fails.
    Failing,
    /// The probability that a job is cancelled.
    Cancel,
    /// The probability that a job lasts until it is cancelled.
    Lasting,
    /// The probability that the upstreams of a world accept starts beyond their capacity.
    Unguarded,
    /// The probability that the upstreams of a world forget ends up to the highest acknowledged
    /// number, also those that come later.
    Remember,
    /// The probability that the upstreams of a world report few ends at a time.
    ShortReport,
}

/// All hazards with their names.
pub(crate) const ALL: [(Hazard, &str); 24] = [
    (Hazard::SameId, "same_id"),
    (Hazard::NewId, "new_id"),
    (Hazard::LateEntry, "late_entry"),
    (Hazard::LostOrder, "lost_order"),
    (Hazard::LostAnswer, "lost_answer"),
    (Hazard::LateOrder, "late_order"),
    (Hazard::Outlive, "outlive"),
    (Hazard::Overtake, "overtake"),
    (Hazard::Cut, "cut"),
    (Hazard::Capacity, "capacity"),
    (Hazard::Unlisted, "unlisted"),
    (Hazard::Kill, "kill"),
    (Hazard::Freeze, "freeze"),
    (Hazard::StoreCut, "store_cut"),
    (Hazard::Split, "split"),
    (Hazard::LostAppend, "lost_append"),
    (Hazard::SlowAppend, "slow_append"),
    (Hazard::Deadly, "deadly"),
    (Hazard::Failing, "failing"),
    (Hazard::Cancel, "cancel"),
    (Hazard::Lasting, "lasting"),
    (Hazard::Unguarded, "unguarded"),
    (Hazard::Remember, "remember"),
    (Hazard::ShortReport, "short_report"),
];

/// How often each hazard occurs.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Hazards([f64; ALL.len()]);

impl Hazards {
    /// Returns a world without hazards.
    pub(crate) fn none() -> Self {
        Self([0.0; ALL.len()])
    }

    /// Returns a world with all hazards but three: tasks that crash their upstreams, late orders that
    /// reach the next process, and upstreams that forget ends which come later.
    pub(crate) fn all() -> Self {
        Self::none()
            .with(Hazard::SameId, 1.0)
            .with(Hazard::NewId, 0.4)
            .with(Hazard::LateEntry, 0.5)
            .with(Hazard::LostOrder, 0.02)
            .with(Hazard::LostAnswer, 0.03)
            .with(Hazard::LateOrder, 0.02)
            .with(Hazard::Overtake, 0.05)
            .with(Hazard::Cut, 0.5)
            .with(Hazard::Capacity, 0.5)
            .with(Hazard::Unlisted, 0.3)
            .with(Hazard::Kill, 1.0)
            .with(Hazard::Freeze, 1.0)
            .with(Hazard::StoreCut, 0.6)
            .with(Hazard::Split, 0.2)
            .with(Hazard::LostAppend, 0.02)
            .with(Hazard::SlowAppend, 0.02)
            .with(Hazard::Failing, 0.02)
            .with(Hazard::Cancel, 0.06)
            .with(Hazard::Lasting, 0.05)
            .with(Hazard::Unguarded, 0.5)
            .with(Hazard::ShortReport, 0.3)
    }

    /// Returns how often a hazard occurs.
    pub(crate) fn of(&self, hazard: Hazard) -> f64 {
        self.0[hazard as usize]
    }

    /// Returns the same hazards, with another value of one.
    pub(crate) fn with(mut self, hazard: Hazard, value: f64) -> Self {
        self.0[hazard as usize] = value;
        self
    }

    /// Applies changes of the form `name=value,name=value`.
    pub(crate) fn adjusted(mut self, text: &str) -> Self {
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once('=').unwrap();
            let found = ALL.iter().find(|(_, known)| *known == name);
            let (hazard, _) = found.unwrap_or_else(|| panic!("unknown hazard {name}"));
            self = self.with(*hazard, value.parse().unwrap());
        }
        self
    }
}

impl Display for Hazards {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let active = ALL.iter().filter(|(hazard, _)| self.of(*hazard) > 0.0);
        let active: Vec<String> = active
            .map(|(hazard, name)| format!("{name}={}", self.of(*hazard)))
            .collect();
        f.write_str(&active.join(","))
    }
}
