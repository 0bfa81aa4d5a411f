//! Work that may be preempted, and what its stop frees and wastes.

use super::model::ResourceAmounts;
use crate::prelude::*;
use std::collections::HashMap;

/// Work that is stopped together: a gang or a single run.
#[derive(Debug, Clone)]
pub(super) struct Victim {
    /// The job.
    pub(super) job: Name,
    /// One of its runs; stopping it stops the rest.
    pub(super) place: super::task::TaskPosition,
    /// Whether it is urgent itself, beyond its workspace's guarantee.
    pub(super) urgent: bool,
    /// The step whose tasks may only be missed in part, if it is one.
    pub(super) limited: Option<usize>,
    /// What stopping it wastes, in core-seconds.
    pub(super) waste: f64,
    /// What each spot gets back.
    pub(super) frees: Vec<(usize, ResourceAmounts)>,
}

impl Victim {
    /// Counts the tasks that stop with it.
    fn tasks(&self) -> u32 {
        u32::try_from(self.frees.len()).unwrap_or(u32::MAX)
    }
}

/// Work that may be stopped, by the spots that it uses.
#[derive(Debug, Clone, Default)]
pub(super) struct Victims {
    /// All of it; what was chosen before stays, marked in `gone`.
    pub(super) all: Vec<Victim>,
    gone: Vec<bool>,
    /// How many tasks of each limited step may still be stopped.
    allowed: Vec<u32>,
    by_spot: HashMap<usize, Vec<usize>>,
}

impl Victims {
    /// Indexes work that may be stopped; `allowed` tells how many tasks of each limited step.
    pub(super) fn new(all: Vec<Victim>, allowed: Vec<u32>) -> Self {
        let mut by_spot = HashMap::<usize, Vec<usize>>::new();
        for (index, victim) in all.iter().enumerate() {
            for (at, _) in &victim.frees {
                by_spot.entry(*at).or_default().push(index);
            }
        }
        Self {
            gone: vec![false; all.len()],
            all,
            allowed,
            by_spot,
        }
    }

    /// Marks work as chosen.
    pub(super) fn take(&mut self, index: usize) {
        self.gone[index] = true;
        let victim = &self.all[index];
        if let Some(left) = victim.limited.and_then(|step| self.allowed.get_mut(step)) {
            *left = left.saturating_sub(victim.tasks());
        }
    }

    /// Tells whether a victim may be stopped beside those of `chosen`.
    pub(super) fn may_go(&self, index: usize, chosen: &[usize], urgent: bool) -> bool {
        let victim = &self.all[index];
        if self.gone[index] || victim.urgent && !urgent || chosen.contains(&index) {
            return false;
        }
        let Some(step) = victim.limited else {
            return true;
        };
        let beside = chosen.iter().map(|&other| &self.all[other]);
        let beside = beside.filter(|other| other.limited == Some(step));
        let taken: u32 = beside.map(Victim::tasks).sum();
        let left = self.allowed.get(step).copied().unwrap_or(0);
        taken + victim.tasks() <= left
    }

    /// Lists what stopping all of it would give back, spot by spot.
    pub(super) fn gains(&self, urgent: bool) -> impl Iterator<Item = (usize, ResourceAmounts)> {
        let all = self.all.iter().zip(&self.gone);
        let may = all.filter(move |(victim, gone)| !**gone && (urgent || !victim.urgent));
        may.flat_map(|(victim, _)| victim.frees.iter().copied())
    }

    /// Lists the work in a cell, the least waste for an accelerator first.
    pub(super) fn order(&self, cell: &[usize], urgent: bool) -> Vec<usize> {
        let mut gains = HashMap::<usize, u64>::new();
        for at in cell {
            for &index in self.by_spot.get(at).into_iter().flatten() {
                if !self.may_go(index, &[], urgent) {
                    continue;
                }
                let victim = &self.all[index];
                let here = victim.frees.iter().filter(|(spot, _)| spot == at);
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

    /// Lists the work on a spot, with what its stop frees there, the least waste for an
    /// accelerator first.
    pub(super) fn on(&self, at: usize) -> Vec<(usize, ResourceAmounts)> {
        let mut found: Vec<(f64, usize, ResourceAmounts)> = Vec::new();
        for &index in self.by_spot.get(&at).into_iter().flatten() {
            if found.iter().any(|(_, known, _)| *known == index) {
                continue;
            }
            let victim = &self.all[index];
            let mut gain = ResourceAmounts::default();
            for (_, need) in victim.frees.iter().filter(|(spot, _)| *spot == at) {
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
