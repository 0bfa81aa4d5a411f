//! Accounts what each workspace uses beyond the guarantees, and orders waiting steps by it.
//!
//! The accounts follow from the live runs of open jobs alone, so that a new leader needs no rows of
//! them: it begins with what runs, and knows the past use after a half-life.

use super::decide::order::Claim;
use super::decide::share;
use super::decide::share::Party;
use super::decide::share::Standing;
use super::gauge;
use super::model::Config;
use super::model::ResourceAmounts;
use super::scheduler::Scheduler;
use super::task::Job;
use super::waiting::WaitingStep;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

/// The shortest time between two updates while work finds no room, in milliseconds: an update reads
/// the tasks of all open jobs, and only a few of them end within this.
const UPDATE_MS: u64 = 100;
/// The shortest time between two updates while all work finds room, in milliseconds.
const CALM_UPDATE_MS: u64 = 1_000;
/// The shortest time by which the averages advance, in milliseconds: in less, whole millionths of
/// the longest half-lives that can be set round to no change.
const AVERAGE_MS: u64 = 1_000;
/// The shortest time between two log lines about the shares, in milliseconds.
const LOG_INTERVAL_MS: u64 = 5_000;

/// The use that workspaces are charged for.
#[derive(Debug, Default)]
pub(super) struct Shares {
    accounts: BTreeMap<Name, Account>,
    /// Whether a step found no room in the last pass.
    contended: bool,
    /// Whether the levels decide.
    in_force: bool,
    /// When the accounts were last updated, local clock.
    updated_at: Option<u64>,
    /// When the averages last advanced, local clock.
    advanced_at: Option<u64>,
    /// The workspaces furthest below and above their shares as last logged, and when, local clock.
    logged: Option<([Name; 2], u64)>,
}

/// The use of one workspace, in millionths of all.
#[derive(Debug, Clone, Default)]
struct Account {
    /// What its runs use now.
    present: u64,
    /// What they used in the past, as a moving average.
    past: u64,
    /// The sum of what they used since the average last advanced, times milliseconds.
    used: u64,
    weight: u32,
    standing: Standing,
    /// When this leader last placed a run of it, by priority, local clock. Runs of an earlier leader
    /// do not count: when they were placed is not stored.
    placed: BTreeMap<u32, u64>,
}

impl Account {
    /// Returns what it is charged for: what runs counts in full, and what ran as far as it exceeds
    /// that.
    fn charged(&self) -> u64 {
        self.present.max(self.past)
    }

    /// Returns whether the workspace waits for others at a priority rather than for its own work:
    /// it uses clearly less than its share, or nothing of it was placed within `ms`.
    fn is_held_up(&self, now: u64, priority: u32, ms: u64) -> bool {
        let placed = self.placed.get(&priority).copied();
        !self.standing.served || placed.is_none_or(|at| now >= at.saturating_add(ms))
    }

    /// Returns what it is charged for each 1 of its weight.
    fn weighted(&self) -> u64 {
        self.charged() / u64::from(self.weight.max(1))
    }
}

/// What a workspace uses beyond its guarantee, and what waits.
#[derive(Debug, Default)]
struct Amounts {
    used: ResourceAmounts,
    waiting: ResourceAmounts,
}

impl Shares {
    /// Records whether a step found no room in this pass.
    pub(super) fn note_contention(&mut self, contended: bool) {
        if self.contended && !contended {
            // No pass may follow soon that updates the accounts.
            gauge::share_levels(0);
        }
        self.contended = contended;
    }

    fn is_due(&self, now: u64) -> bool {
        let interval = if self.contended {
            UPDATE_MS
        } else {
            CALM_UPDATE_MS
        };
        self.updated_at.is_none_or(|at| now >= at + interval)
    }

    /// Updates the accounts; `amounts` has each workspace with open jobs, `weights` each of the
    /// configuration.
    fn update(
        &mut self,
        now: u64,
        half_life_ms: u64,
        total: &ResourceAmounts,
        amounts: &HashMap<Name, Amounts>,
        weights: &HashMap<&Name, u32>,
    ) {
        for name in amounts.keys() {
            if !self.accounts.contains_key(name) {
                self.accounts.insert(name.clone(), Account::default());
            }
        }
        let since = now.saturating_sub(*self.advanced_at.get_or_insert(now));
        let advance = Some(since).filter(|ms| *ms >= AVERAGE_MS);
        if advance.is_some() {
            self.advanced_at = Some(now);
        }
        let mut parties = Vec::with_capacity(self.accounts.len());
        for (name, account) in &mut self.accounts {
            let none = Amounts::default();
            let amounts = amounts.get(name).unwrap_or(&none);
            let present = share::dominant(&amounts.used, total);
            match self.updated_at {
                // A run that ended in between was at work for an unknown part of the time.
                Some(at) => {
                    let least = present.min(account.present);
                    let used = least.saturating_mul(now.saturating_sub(at));
                    account.used = account.used.saturating_add(used);
                }
                None => account.past = present,
            }
            if let Some(ms) = advance {
                let used = account.used / ms;
                account.past = share::average(account.past, used, ms, half_life_ms);
                account.used = 0;
            }
            account.present = present;
            // A workspace without keys keeps its claims to its jobs.
            account.weight = weights.get(name).copied().unwrap_or(1).max(1);
            let mut wanted = amounts.used;
            wanted.add(&amounts.waiting);
            parties.push(Party {
                weight: account.weight,
                present,
                charged: account.charged(),
                demand: account.charged().max(share::dominant(&wanted, total)),
            });
        }
        self.updated_at = Some(now);
        let standings = self.contended.then(|| share::standings(&parties));
        let standings = standings.flatten();
        self.in_force = standings.is_some();
        let standings = standings.unwrap_or_else(|| vec![Standing::default(); parties.len()]);
        for (account, standing) in self.accounts.values_mut().zip(standings) {
            account.standing = standing;
        }
        self.accounts.retain(|name, account| {
            account.past > 0 || account.used > 0 || amounts.contains_key(name)
        });
        self.report(now);
    }

    /// Records that a run of a workspace was placed, or that room is freed for one.
    ///
    /// Set at once and not by the next update: each pass in between would exempt another step.
    pub(super) fn note_placed(&mut self, now: u64, workspace: &Name, priority: u32) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.placed.insert(priority, now);
        }
    }

    /// Returns whether shares do not delay a step that has waited for long.
    fn is_exempt(&self, now: u64, workspace: &Name, claim: &Claim) -> bool {
        let account = self.accounts.get(workspace);
        claim.is_overdue(now)
            && account
                .is_some_and(|account| account.is_held_up(now, claim.priority, claim.objective_ms))
    }

    /// Gives each waiting step the level of its workspace. A step that has waited for long has none
    /// if its workspace waits for others; of a workspace that waits for its own work, that is the
    /// first step of each priority that finds room in the time of its objective, as the rest of a
    /// backlog that goes first would delay the others again.
    fn rank(&self, now: u64, waiting: &mut [WaitingStep], jobs: &BTreeMap<Name, Job>) {
        for wait in waiting {
            let Some(job) = jobs.get(&wait.job) else {
                continue;
            };
            let standing = self.accounts.get(&job.workspace);
            let standing = standing.map_or_else(Standing::default, |account| account.standing);
            let without = wait.claim.rank();
            let exempt = self.is_exempt(now, &job.workspace, &wait.claim);
            wait.claim.level = (!exempt || standing.served).then_some(standing.level);
            wait.rank = wait.claim.rank();
            wait.overdue_rank = (exempt && standing.served).then_some(without);
        }
    }

    /// Updates the metrics, and logs a change of the workspaces furthest below and above.
    fn report(&mut self, now: u64) {
        let mut ranked: Vec<(&Name, &Account)> = self.accounts.iter().collect();
        ranked.sort_by_key(|(_, account)| (account.standing.level, account.weighted()));
        let (Some((below, lowest)), Some((above, highest))) = (ranked.first(), ranked.last())
        else {
            gauge::shares([0; 3], 0);
            return;
        };
        let levels = if self.in_force {
            highest.standing.level - lowest.standing.level + 1
        } else {
            0
        };
        let median = ranked[ranked.len() / 2].1.charged();
        gauge::shares([highest.charged(), median, lowest.charged()], levels);
        if !self.in_force {
            return;
        }
        let names = [(*below).clone(), (*above).clone()];
        let known = self.logged.as_ref().is_some_and(|(logged, at)| {
            *logged == names || now < at.saturating_add(LOG_INTERVAL_MS)
        });
        if known {
            return;
        }
        log::info!(
            "TG1831 workspaces={} lowest={below} share_permille={} weight={} level={} highest={above} share_permille={} weight={} level={}",
            ranked.len(),
            lowest.charged() * 1_000 / share::WHOLE,
            lowest.weight,
            lowest.standing.level,
            highest.charged() * 1_000 / share::WHOLE,
            highest.weight,
            highest.standing.level
        );
        self.logged = Some((names, now));
    }
}

impl Scheduler {
    /// Updates the accounts of the workspaces, and puts those that use more than their share behind
    /// the others within each class if steps found no room in the last pass.
    pub(super) fn order_by_share(
        &mut self,
        now: u64,
        config: &Config,
        entitled: &HashSet<Name>,
        waiting: &mut [WaitingStep],
    ) {
        let half_life_ms = self.timing.policy.share_half_life_ms;
        if half_life_ms == 0 {
            return;
        }
        if waiting.is_empty() {
            self.shares.note_contention(false);
        }
        if self.shares.is_due(now) {
            let amounts = self.amounts(entitled, waiting);
            let listed = self.upstreams.values().filter(|up| up.listed);
            let mut total = ResourceAmounts::default();
            for upstream in listed {
                total.add(&upstream.listing.room);
            }
            let weights = config.keys.values();
            let weights = weights.map(|workspace| (&workspace.name, workspace.weight));
            let weights: HashMap<&Name, u32> = weights.collect();
            self.shares
                .update(now, half_life_ms, &total, &amounts, &weights);
        }
        if !self.shares.in_force || !self.shares.contended {
            return;
        }
        self.shares.rank(now, waiting, &self.jobs);
    }

    /// Returns whether a step still goes before the others of its workspace in this pass.
    pub(super) fn is_exempt(&self, now: u64, wait: &WaitingStep) -> bool {
        let job = self.jobs.get(&wait.job);
        job.is_some_and(|job| self.shares.is_exempt(now, &job.workspace, &wait.claim))
    }

    /// Sums what each workspace uses and waits for, without the jobs within guarantees.
    fn amounts(&self, entitled: &HashSet<Name>, waiting: &[WaitingStep]) -> HashMap<Name, Amounts> {
        let mut found: HashMap<Name, Amounts> = HashMap::new();
        for job in self.open.iter().filter_map(|id| self.jobs.get(id)) {
            if entitled.contains(&job.id) {
                continue;
            }
            if !found.contains_key(&job.workspace) {
                found.insert(job.workspace.clone(), Amounts::default());
            }
            let Some(amounts) = found.get_mut(&job.workspace) else {
                continue;
            };
            for turn in job.turns.values() {
                for (step, state) in job.spec.steps.iter().zip(&turn.steps) {
                    let live = state.tasks.iter().filter(|task| task.live.is_some());
                    let count = u32::try_from(live.count()).unwrap_or(u32::MAX);
                    amounts.used.add(&step.need().times(count));
                }
            }
        }
        for wait in waiting.iter().filter(|wait| !wait.entitled) {
            let Some(job) = self.jobs.get(&wait.job) else {
                continue;
            };
            let Some(amounts) = found.get_mut(&job.workspace) else {
                continue;
            };
            if let Some(step) = job.spec.steps.get(wait.step as usize) {
                let count = u32::try_from(wait.tasks.len()).unwrap_or(u32::MAX);
                amounts.waiting.add(&step.need().times(count));
            }
        }
        found
    }
}
