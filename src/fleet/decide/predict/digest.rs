//! The stored form of what is known of one kind of task.

use super::Durations;
use super::spread::MAX_COUNT;
use super::spread::Point;
use super::spread::Spread;
use crate::prelude::*;
use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

/// The most bytes of a digest's value.
pub(in crate::fleet) const MAX_VALUE_BYTES: usize = 400;
/// The longest queue and image together that a digest names, in bytes: with 48 points it then fits
/// into the limit. Kinds with longer names are not stored.
const MAX_NAME_BYTES: usize = 160;
/// The most completions that a digest counts for: a change since then is detected after few
/// completions, and half of what is known is soon from the leader itself.
const MAX_PRIOR: f64 = 32.0;
/// The age up to which a digest counts in full, and in which its weight halves then, in
/// milliseconds.
const HALF_LIFE_MS: f64 = 600_000.0;
/// The part of the completions that must be new before a kind is stored again.
const NEW_PART: f64 = 0.2;
/// Parts of a doubling in the stored form of a point: a thousandth of a duration.
const AT_PARTS: f64 = 1_024.0;
/// Parts of a whole in the stored form of a weight.
const WEIGHT_PARTS: f64 = 1_000.0;
/// The binary logarithm of the longest duration that is recorded, in milliseconds.
const MAX_AT: f64 = 32.0;

/// What is known of one kind of task, in a form to be stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::fleet) struct Digest {
    /// Identifies the kind; 16 bytes.
    pub(in crate::fleet) key: String,
    /// At most 400 bytes.
    pub(in crate::fleet) value: Vec<u8>,
}

/// The value of a digest.
#[derive(Clone, PartialEq, prost::Message)]
struct Value {
    #[prost(string, tag = "1")]
    queue: String,
    #[prost(string, tag = "2")]
    image: String,
    #[prost(bool, tag = "3")]
    gang: bool,
    /// How many completions it stands for.
    #[prost(uint32, tag = "4")]
    count: u32,
    /// The binary logarithms of durations in milliseconds, in parts of a doubling; each but the
    /// first as its distance from the one before.
    #[prost(uint32, repeated, tag = "5")]
    at: Vec<u32>,
    /// The weights of the durations, in parts of a whole.
    #[prost(uint32, repeated, tag = "6")]
    weights: Vec<u32>,
    /// The usual estimate of callers, as the first duration.
    #[prost(uint32, tag = "7")]
    estimate: u32,
}

impl Value {
    fn key(&self) -> String {
        let text = format!("{}\n{}\n{}", self.queue, self.image, self.gang);
        format!("{:016x}", xxh3_64(text.as_bytes()))
    }
}

impl Durations {
    /// Returns digests of the kinds that changed most since they were last taken, until `fits`
    /// declines one; it is given the bytes of its key and value.
    pub(in crate::fleet) fn take_digests(
        &mut self,
        mut fits: impl FnMut(usize) -> bool,
    ) -> Vec<Digest> {
        let mut changed = Vec::new();
        for (queue, groups) in &mut self.queues {
            for (gang, group) in groups.iter_mut().enumerate() {
                for (image, known) in &mut group.kinds {
                    let part = known.untaken / known.spread.count().max(1.0);
                    if part >= NEW_PART && queue.len() + image.len() <= MAX_NAME_BYTES {
                        changed.push((part, queue, gang == 1, image, known));
                    }
                }
            }
        }
        changed.sort_by(|a, b| {
            b.0.total_cmp(&a.0)
                .then_with(|| (a.1, a.3).cmp(&(b.1, b.3)))
        });
        let mut digests = Vec::new();
        for (_, queue, gang, image, known) in changed {
            let mut value = encode(&known.spread, known.estimate);
            value.queue = queue.as_ref().to_owned();
            value.image.clone_from(image);
            value.gang = gang;
            let digest = Digest {
                key: value.key(),
                value: value.encode_to_vec(),
            };
            let bytes = digest.key.len() + digest.value.len();
            if digest.value.len() > MAX_VALUE_BYTES {
                known.untaken = 0.0;
                continue;
            }
            if !fits(bytes) {
                break;
            }
            known.untaken = 0.0;
            digests.push(digest);
        }
        digests
    }

    /// Adds what an earlier leader knew `age_ms` ago; loaded twice, it only weighs more.
    ///
    /// # Errors
    ///
    /// Returns why the digest cannot be used.
    pub(in crate::fleet) fn merge_digest(
        &mut self,
        key: &str,
        value: &[u8],
        age_ms: u64,
    ) -> Result<(), String> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(format!("its value has {} bytes", value.len()));
        }
        let value = Value::decode(value).map_err(|error| error.to_string())?;
        if value.key() != key {
            return Err("its key is that of another kind".to_owned());
        }
        let points = decode(&value)?;
        let halvings = (super::millis(age_ms) / HALF_LIFE_MS - 1.0).max(0.0);
        let count = f64::from(value.count).min(MAX_PRIOR) * (-halvings).exp2();
        let total: f64 = points.iter().map(|point| point.weight).sum();
        let points: Vec<Point> = points
            .into_iter()
            .map(|point| Point::new(point.at, point.weight * count / total))
            .collect();
        let queue: Name = value.queue.as_str().into();
        let estimate = f64::from(value.estimate) / AT_PARTS;
        let errors: Vec<Point> = points
            .iter()
            .map(|point| Point::new(point.at - estimate, point.weight))
            .collect();
        let group = self.group_mut(&queue, &value.image, value.gang);
        group.errors.merge(errors, count);
        let known = group.kinds.entry(value.image).or_default();
        known.load(points, count, estimate);
        Ok(())
    }
}

fn encode(spread: &Spread, estimate: f64) -> Value {
    let points = spread.points();
    let total: f64 = points.iter().map(|point| point.weight).sum();
    let mut before = 0;
    let mut value = Value {
        count: whole(spread.count().min(MAX_COUNT)),
        estimate: whole(estimate * AT_PARTS),
        ..Value::default()
    };
    for point in points {
        let at = whole(point.at * AT_PARTS);
        let weight = whole(point.weight / total * WEIGHT_PARTS);
        if weight > 0 {
            value.at.push(at.saturating_sub(before));
            value.weights.push(weight);
            before = at;
        }
    }
    value
}

fn decode(value: &Value) -> Result<Vec<Point>, String> {
    if value.at.is_empty() || value.at.len() != value.weights.len() {
        return Err(format!(
            "it has {} durations and {} weights",
            value.at.len(),
            value.weights.len()
        ));
    }
    let mut at = 0.0;
    let mut points = Vec::with_capacity(value.at.len());
    for (distance, weight) in value.at.iter().zip(&value.weights) {
        at += f64::from(*distance) / AT_PARTS;
        points.push(Point::new(at, f64::from(*weight)));
    }
    if at > MAX_AT || f64::from(value.estimate) > MAX_AT * AT_PARTS {
        return Err("a duration is longer than 49 days".to_owned());
    }
    if !points.iter().any(|point| point.weight > 0.0) {
        return Err("its durations have no weight".to_owned());
    }
    Ok(points)
}

/// Rounds to a whole number; values of points are not negative.
fn whole(value: f64) -> u32 {
    u32::try_from(super::as_ms(value.max(0.0) + 0.5)).unwrap_or(u32::MAX)
}
