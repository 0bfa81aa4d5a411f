//! Work that may be preempted, with what stopping it releases and wastes.

use crate::fleet::model::ResourceAmounts;
use crate::prelude::*;
use std::collections::HashMap;

/// Work that is stopped together: a gang or a single run.
#[derive(Debug, Clone)]
pub(in crate::fleet) struct Victim {
    /// The job.
    pub(in crate::fleet) job: Name,
    /// One of its runs; stopping it stops the others too.
    pub(in crate::fleet) position: crate::fleet::task::TaskPosition,
    /// Whether it is urgent work beyond its workspace's guarantee.
    pub(in crate::fleet) urgent: bool,
    /// The position of its limit in `Victims::allowed`, if only some tasks of its step may be
    /// stopped at once.
    pub(in crate::fleet) limited: Option<usize>,
    /// The work that stopping it wastes, in core-seconds.
    pub(in crate::fleet) waste: f64,
    /// The resources that each candidate gets back.
    pub(in crate::fleet) releases: Vec<(usize, ResourceAmounts)>,
}

impl Victim {
    /// Returns how many tasks stopping it stops.
    fn tasks(&self) -> u32 {
        u32::try_from(self.releases.len()).unwrap_or(u32::MAX)
    }
}

/// Work that may be stopped, indexed by the candidates that it runs on.
#[derive(Debug, Clone, Default)]
pub(in crate::fleet) struct Victims {
    /// All of it, including what was chosen before, which `taken` marks.
    pub(in crate::fleet) all: Vec<Victim>,
    taken: Vec<bool>,
    /// The number of tasks of each limited step that may still be stopped.
    allowed: Vec<u32>,
    by_candidate: HashMap<usize, Vec<usize>>,
}

impl Victims {
    /// Indexes work that may be stopped; `allowed` holds the number of tasks for each limited step.
    pub(in crate::fleet) fn new(all: Vec<Victim>, allowed: Vec<u32>) -> Self {
        let mut by_candidate = HashMap::<usize, Vec<usize>>::new();
        for (index, victim) in all.iter().enumerate() {
            for (at, _) in &victim.releases {
                by_candidate.entry(*at).or_default().push(index);
            }
        }
        Self {
            taken: vec![false; all.len()],
            all,
            allowed,
            by_candidate,
        }
    }

    /// Marks work as chosen for a stop.
    pub(in crate::fleet) fn mark_taken(&mut self, index: usize) {
        self.taken[index] = true;
        let victim = &self.all[index];
        if let Some(left) = victim.limited.and_then(|step| self.allowed.get_mut(step)) {
            *left = left.saturating_sub(victim.tasks());
        }
    }

    /// Returns whether a victim may be stopped in addition to those of `chosen`; `urgent`: urgent
    /// work may be stopped.
    pub(in crate::fleet) fn can_stop(&self, index: usize, chosen: &[usize], urgent: bool) -> bool {
        let victim = &self.all[index];
        if self.taken[index] || victim.urgent && !urgent || chosen.contains(&index) {
            return false;
        }
        let Some(step) = victim.limited else {
            return true;
        };
        let beside = chosen.iter().map(|&other| &self.all[other]);
        let beside = beside.filter(|other| other.limited == Some(step));
        let stopped: u32 = beside.map(Victim::tasks).sum();
        let left = self.allowed.get(step).copied().unwrap_or(0);
        stopped + victim.tasks() <= left
    }

    /// Returns what stopping all work in the list would release, with the candidate of each part.
    pub(in crate::fleet) fn gains(
        &self,
        urgent: bool,
    ) -> impl Iterator<Item = (usize, ResourceAmounts)> {
        let all = self.all.iter().zip(&self.taken);
        let may = all.filter(move |(victim, taken)| !**taken && (urgent || !victim.urgent));
        may.flat_map(|(victim, _)| victim.releases.iter().copied())
    }

    /// Returns the work on a group of candidates, the least waste per accelerator first.
    pub(in crate::fleet) fn by_waste(&self, group: &[usize], urgent: bool) -> Vec<usize> {
        let mut gains = HashMap::<usize, u64>::new();
        for at in group {
            for &index in self.by_candidate.get(at).into_iter().flatten() {
                if !self.can_stop(index, &[], urgent) {
                    continue;
                }
                let victim = &self.all[index];
                let here = victim
                    .releases
                    .iter()
                    .filter(|(candidate, _)| candidate == at);
                let gain: u64 = here.map(|(_, need)| need.accelerators.max(1)).sum();
                *gains.entry(index).or_insert(0) += gain;
            }
        }
        let mut order: Vec<(f64, usize)> = gains
            .into_iter()
            .map(|(index, gain)| {
                let gain = u32::try_from(gain).unwrap_or(u32::MAX).max(1);
                (self.all[index].waste / f64::from(gain), index)
            })
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns the work on a candidate with what stopping it releases there, the least waste per
    /// accelerator first.
    pub(in crate::fleet) fn on_candidate(&self, at: usize) -> Vec<(usize, ResourceAmounts)> {
        let mut found: Vec<(f64, usize, ResourceAmounts)> = Vec::new();
        for &index in self.by_candidate.get(&at).into_iter().flatten() {
            if found.iter().any(|(_, known, _)| *known == index) {
                continue;
            }
            let victim = &self.all[index];
            let mut gain = ResourceAmounts::default();
            for (_, need) in victim
                .releases
                .iter()
                .filter(|(candidate, _)| *candidate == at)
            {
                gain.add(need);
            }
            let part = u32::try_from(gain.accelerators.max(1)).unwrap_or(u32::MAX);
            found.push((victim.waste / f64::from(part), index, gain));
        }
        found.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        found
            .into_iter()
            .map(|(_, index, gain)| (index, gain))
            .collect()
    }
}
