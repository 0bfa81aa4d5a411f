//! What the leader has learned, stored for the next one.
//!
//! The speeds and failures of machines, and the durations of kinds of tasks, are stored as rows of
//! their own. They go along with appends that are sent in any case, within a budget of bytes, the
//! most changed first; no order or reply waits for them. What was not stored in time, or cannot be
//! decoded, costs only knowledge.

mod kinds;
mod stored;

use super::decide::learn::Allowance;
use super::decide::learn::ByteRate;
use super::decide::learn::Knowledge;
use super::decide::learn::MAX_ROW_BYTES;
use super::gauge;
use super::model::Machine;
use super::row::MACHINE_PREFIX;
use super::row::MAX_KEY_BYTES;
use super::row::Row;
use super::scheduler::Scheduler;
use super::upstream::Upstream;
use crate::prelude::*;
use kinds::Kinds;
use prost::Message;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::ops::Bound;
pub(super) use stored::StoredKnowledge;

/// The shortest time between two batches of rows, in milliseconds.
const INTERVAL_MS: u64 = 1_000;
/// The most rows of a batch.
const MAX_ROWS: usize = 32;
/// The most rows of a batch that are deleted, so that deletions do not displace what is new.
const MAX_DELETED: usize = 8;
/// The most upstreams whose estimates are compared for one batch: at 8,740 upstreams with changes,
/// comparing all of them took 3.5 ms each second.
const MAX_COMPARED: usize = 1_000;
/// The most machines that are kept.
const MAX_MACHINES: usize = 16_384;
/// How long a machine that is not listed is kept, in milliseconds; also the age from which a row
/// tells nothing of a machine, as its estimates have decayed by then.
const MAX_AGE_MS: u64 = 600_000;
/// The time after which a new leader has read what discovery lists, in milliseconds.
const LISTED_MS: u64 = 60_000;
/// The interval at which machines that are not listed any more are looked for, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 10_000;

/// A machine with a stored row.
#[derive(Debug, Clone)]
struct Entry {
    /// The upstream that ran on it when the row was stored.
    upstream: Name,
    /// What the row says, as of now.
    stored: Knowledge,
    /// When the row was stored, or the machine was seen on the list later, Unix milliseconds.
    seen_ms: u64,
}

impl Entry {
    /// Gives an upstream on this machine what is known of it, where nothing is known of the upstream.
    fn apply(&self, now: u64, upstream: &mut Upstream) {
        let slowness = !upstream.slowness.is_known() && self.stored.slowness.is_known();
        let health = upstream.health.ended_at() == 0 && self.stored.health.ended_at() != 0;
        if slowness {
            upstream.slowness = self.stored.slowness;
        }
        if health {
            upstream.health = self.stored.health;
        }
        if slowness || health {
            log::debug!(
                "upstream={} begins with what is known of its machine factor={:.2} failing_per_mille={:.0}",
                upstream.listing.id,
                upstream.slowness.factor(now),
                upstream.health.failure_rate(now)
            );
        }
    }
}

/// What is stored of the learned state.
#[derive(Debug)]
pub(super) struct Learned {
    /// The machines with a stored row, by the key of the row without its prefix.
    machines: HashMap<Name, Entry>,
    /// Which of them an upstream runs on.
    keys: HashMap<Name, Name>,
    /// The machine of each upstream, by the platform's last list.
    listed: HashMap<Name, Name>,
    /// Whether that list arrived after the last search for machines that are not listed any more.
    newly_listed: bool,
    kinds: Kinds,
    /// Keys of rows to delete.
    obsolete: BTreeSet<String>,
    rate: ByteRate,
    /// When the next batch may be taken, local clock.
    next: u64,
    /// When machines that are not listed are looked for, local clock.
    next_sweep: u64,
    /// The upstream with which the comparison for the next batch begins; none for the first one.
    next_compared: Option<Name>,
}

impl Learned {
    pub(super) fn new(now: u64) -> Self {
        Self {
            machines: HashMap::new(),
            keys: HashMap::new(),
            listed: HashMap::new(),
            newly_listed: false,
            kinds: Kinds::default(),
            obsolete: BTreeSet::new(),
            rate: ByteRate::new(now),
            next: now + INTERVAL_MS,
            next_sweep: now + LISTED_MS,
            next_compared: None,
        }
    }

    /// Gives an upstream that is added what is known of its machine; what is known of the upstream
    /// itself remains.
    pub(super) fn apply(&self, now: u64, upstream: &mut Upstream) {
        let id = &upstream.listing.id;
        // A row under the upstream's id was stored before its machine was known.
        let entry = self.machines.get(&self.key_of(id));
        if let Some(entry) = entry.or_else(|| self.machines.get(id)) {
            entry.apply(now, upstream);
        }
    }

    /// Returns the key of the row of an upstream's machine, without its prefix.
    fn key_of(&self, upstream: &Name) -> Name {
        let key = self
            .listed
            .get(upstream)
            .or_else(|| self.keys.get(upstream));
        key.unwrap_or(upstream).clone()
    }

    /// Records that the row `key` is stored for the machine of `upstream`.
    fn set(&mut self, key: Name, entry: Entry) {
        let before = self.keys.insert(entry.upstream.clone(), key.clone());
        // Any other earlier key is that of a machine that the upstream has left.
        if before.is_some_and(|before| before != key && before == entry.upstream) {
            self.forget(&entry.upstream);
        }
        let upstream = entry.upstream.clone();
        let earlier = self.machines.insert(key.clone(), entry);
        if let Some(earlier) = earlier.filter(|earlier| earlier.upstream != upstream)
            && self.keys.get(&earlier.upstream) == Some(&key)
        {
            self.keys.remove(&earlier.upstream);
        }
    }

    /// Deletes the row of a machine.
    fn forget(&mut self, key: &Name) {
        let Some(entry) = self.machines.remove(key) else {
            return;
        };
        if self.keys.get(&entry.upstream) == Some(key) {
            self.keys.remove(&entry.upstream);
        }
        self.obsolete.insert(format!("{MACHINE_PREFIX}{key}"));
    }

    /// Returns the rows that delete what is obsolete.
    fn deleted_rows(&mut self, allowance: &mut Allowance) -> Vec<Row> {
        let mut rows = Vec::new();
        while rows.len() < MAX_DELETED
            && let Some(key) = self.obsolete.first().cloned()
        {
            let value = Vec::new();
            let row = Row { key, value };
            if !allowance.take(row.bytes()) {
                break;
            }
            self.obsolete.remove(&row.key);
            rows.push(row);
        }
        rows
    }

    /// Deletes the rows of machines that have not been listed for a long time, and the oldest ones
    /// beyond the limit.
    fn sweep(&mut self, now: u64, wall_ms: u64, upstreams: &BTreeMap<Name, Upstream>) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL_MS;
        // The platform is asked for its list only during maintenance, so an older one tells nothing.
        let listed: HashSet<&Name> = if std::mem::take(&mut self.newly_listed) {
            self.listed.values().collect()
        } else {
            HashSet::new()
        };
        for (key, entry) in &mut self.machines {
            let there = upstreams.get(&entry.upstream);
            let there = there.is_some_and(|upstream| upstream.listed);
            if there && self.keys.get(&entry.upstream) == Some(key) || listed.contains(key) {
                entry.seen_ms = wall_ms;
            }
        }
        let gone = |entry: &Entry| entry.seen_ms.saturating_add(MAX_AGE_MS) < wall_ms;
        let old = self.machines.iter().filter(|(_, entry)| gone(entry));
        let old: Vec<Name> = old.map(|(key, _)| key.clone()).collect();
        for key in old {
            self.forget(&key);
        }
        self.limit();
    }

    /// Deletes the rows that are the oldest ones beyond the limits.
    fn limit(&mut self) {
        self.obsolete.extend(self.kinds.limit());
        let surplus = self.machines.len().saturating_sub(MAX_MACHINES);
        if surplus == 0 {
            return;
        }
        let all = self.machines.iter();
        let mut all: Vec<(u64, Name)> = all
            .map(|(key, entry)| (entry.seen_ms, key.clone()))
            .collect();
        all.sort();
        for (_, key) in all.into_iter().take(surplus) {
            self.forget(&key);
        }
    }
}

impl Scheduler {
    /// Takes over what earlier leaders have learned.
    pub(super) fn load_learned(&mut self, mut stored: StoredKnowledge, now: u64, wall_ms: u64) {
        if self.timing.policy.learned_bytes_s == 0 {
            return;
        }
        let kinds = self
            .learned
            .kinds
            .load(&mut stored, &mut self.durations, wall_ms);
        let mut machines = std::mem::take(&mut stored.machines);
        // The newest last: it prevails if two rows name one upstream.
        machines.sort_by_key(|(_, row)| stored::assumed_time(row, wall_ms));
        let count = machines.len();
        let ages = machines.iter().map(|(_, row)| row.wall_ms);
        let ages = ages.chain(self.learned.kinds.times());
        let ages = ages.map(|at| wall_ms.saturating_sub(at));
        let (newest_ms, oldest_ms) = ages.fold((u64::MAX, 0), |(newest, oldest), age| {
            (newest.min(age), oldest.max(age))
        });
        let newest_ms = newest_ms.min(oldest_ms);
        for (key, row) in machines {
            let upstream = match &*row.upstream {
                "" => key.clone(),
                upstream => upstream.into(),
            };
            let entry = Entry {
                upstream,
                stored: stored::knowledge(&row, now, wall_ms),
                seen_ms: row.wall_ms.min(wall_ms),
            };
            self.learned.set(key, entry);
        }
        self.learned.limit();
        log::info!(
            "TG1811 learned state loaded kinds={kinds} machines={count} newest_ms={newest_ms} oldest_ms={oldest_ms}"
        );
        if let Some((key, error)) = stored.first_fault {
            log::warn!(
                "TG1812 learned rows={} cannot be decoded and are left out first={key:?}: {error}",
                stored.faults
            );
        }
    }

    /// Notes which machines the upstreams run on: an upstream whose machine becomes known, or is
    /// another one, takes over what is known of that. An unchanged machine is not applied again, as
    /// that would undo the reset of an upstream that restarted.
    pub(super) fn learn_machines(&mut self, now: u64, list: &[Machine]) {
        if self.timing.policy.learned_bytes_s == 0 {
            return;
        }
        let known = list
            .iter()
            .filter(|machine| !machine.id.is_empty() && !machine.upstream.is_empty());
        let known = known.map(|machine| (machine.upstream.clone(), machine.id.clone()));
        let known: HashMap<Name, Name> = known.collect();
        for (id, machine) in &known {
            if self.learned.key_of(id) == *machine {
                continue;
            }
            if let Some(upstream) = self.upstreams.get_mut(id)
                && let Some(entry) = self.learned.machines.get(machine)
            {
                entry.apply(now, upstream);
            }
        }
        self.learned.listed = known;
        self.learned.newly_listed = true;
    }

    /// Returns the learned rows to store now, in addition to the rows of the passes.
    ///
    /// To be called when rows are about to be sent to the store in any case: they are the newest
    /// ones then, and none are returned while the store does not respond.
    pub fn take_learned(&mut self, now: u64, wall_ms: u64) -> Vec<Row> {
        let bytes_s = self.timing.policy.learned_bytes_s;
        if bytes_s == 0 || now < self.learned.next {
            return Vec::new();
        }
        self.learned.next = now + INTERVAL_MS;
        self.learned.sweep(now, wall_ms, &self.upstreams);
        let mut allowance = Allowance {
            rows: MAX_ROWS,
            bytes: self.learned.rate.add(now, bytes_s),
        };
        let before = allowance.bytes;
        let mut rows = self.learned.deleted_rows(&mut allowance);
        // The half, but room for the largest digest; what is left over goes to the machines.
        let kinds = allowance.bytes / 2;
        let mut part = Allowance {
            rows: allowance.rows / 2,
            bytes: kinds.max(usize::from(MAX_ROW_BYTES)).min(allowance.bytes),
        };
        let digests = self
            .learned
            .kinds
            .rows(&mut self.durations, wall_ms, &mut part);
        allowance.rows -= digests.len();
        allowance.bytes -= digests.iter().map(Row::bytes).sum::<usize>();
        rows.extend(digests);
        rows.extend(self.machine_rows(now, wall_ms, &mut allowance));
        for row in rows.iter().filter(|row| !row.value.is_empty()) {
            // It may have been about to be deleted.
            self.learned.obsolete.remove(&row.key);
        }
        let bytes = before - allowance.bytes;
        self.learned.rate.spend(bytes);
        if !rows.is_empty() {
            gauge::learned(rows.len(), bytes);
        }
        rows
    }

    /// Returns the rows of the machines of which the most has changed.
    fn machine_rows(&mut self, now: u64, wall_ms: u64, allowance: &mut Allowance) -> Vec<Row> {
        let mut changed = self.changed_machines(now);
        changed.sort_by(|one, other| other.0.total_cmp(&one.0));
        let mut rows = Vec::new();
        for (_, key, upstream, known) in changed {
            if allowance.rows == 0 {
                break;
            }
            let row = Row {
                key: format!("{MACHINE_PREFIX}{key}"),
                value: stored::machine_row(&key, &upstream, &known, now, wall_ms).encode_to_vec(),
            };
            // One that does not fit must not keep smaller ones from being stored.
            if row.key.len() > MAX_KEY_BYTES || !allowance.take(row.bytes()) {
                continue;
            }
            if let Some(upstream) = self.upstreams.get_mut(&upstream) {
                upstream.learned_at = now;
            }
            let entry = Entry {
                upstream,
                stored: known,
                seen_ms: wall_ms,
            };
            self.learned.set(key, entry);
            rows.push(row);
        }
        rows
    }

    /// Returns the upstreams whose machine's row differs from what is known by enough to store it:
    /// by how much, the key, and what is known. Begins where the last comparison ended.
    fn changed_machines(&mut self, now: u64) -> Vec<(f64, Name, Name, Knowledge)> {
        let unknown = Knowledge::default();
        let mut changed = Vec::new();
        let mut compared = 0;
        let start = self.learned.next_compared.take();
        let before = start
            .clone()
            .map(|start| (Bound::Unbounded, Bound::Excluded(start)));
        let first = start.map_or(Bound::Unbounded, Bound::Included);
        for part in [Some((first, Bound::Unbounded)), before]
            .into_iter()
            .flatten()
        {
            for (id, upstream) in self.upstreams.range_mut::<Name, _>(part) {
                let known = upstream.knowledge();
                let at = known.changed_at();
                if !upstream.listed || at == 0 || at < upstream.learned_at {
                    continue;
                }
                if compared == MAX_COMPARED {
                    self.learned.next_compared = Some(id.clone());
                    return changed;
                }
                compared += 1;
                let key = self.learned.key_of(id);
                let entry = self.learned.machines.get(&key);
                let change = known.change(entry.map_or(&unknown, |entry| &entry.stored), now);
                if change >= 1.0 {
                    changed.push((change, key, id.clone(), known));
                } else {
                    upstream.learned_at = now;
                }
            }
        }
        changed
    }
}
