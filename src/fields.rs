//! Validates the fields of a JSON object, collecting all findings instead of stopping at the first.

use crate::configs::source::escape;
use crate::prelude::*;
use serde_json::Map;
use serde_json::Value;
use std::ops::RangeInclusive;

/// The maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// A reader for the fields of one JSON object.
#[derive(Debug)]
pub struct Fields<'a> {
    map: &'a Map<String, Value>,
    place: String,
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Creates a reader for the object `value` at the JSON pointer `place`; adds a finding and
    /// returns `None` if `value` is not an object.
    pub fn open(value: &'a Value, place: &str, findings: &mut Findings) -> Option<Self> {
        let Value::Object(map) = value else {
            findings.add(place, "must be an object");
            return None;
        };
        Some(Self {
            map,
            place: place.to_owned(),
            known: Vec::new(),
        })
    }

    /// Returns the JSON pointer of a field.
    pub fn place(&self, key: &str) -> String {
        format!("{}/{}", self.place, escape(key))
    }

    /// Returns the raw value of a field if it is present and not null, and marks the field as known.
    pub fn raw(&mut self, key: &'static str) -> Option<&'a Value> {
        self.known.push(key);
        self.map.get(key).filter(|value| !value.is_null())
    }

    /// Reads an optional whole number within `range`.
    pub fn number_or(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> u64 {
        let Some(value) = self.raw(key) else {
            return default;
        };
        match value.as_u64() {
            Some(number) if range.contains(&number) => number,
            _ => {
                findings.add(self.place(key), range_text(&range));
                default
            }
        }
    }

    /// Reads a required whole number within `range`.
    pub fn number(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> u64 {
        if !self.map.contains_key(key) {
            findings.add(
                self.place(key),
                format!("is missing: {}", range_text(&range)),
            );
        }
        let least = *range.start();
        self.number_or(key, least, range, findings)
    }

    /// Reads an optional boolean.
    pub fn flag_or(&mut self, key: &'static str, default: bool, findings: &mut Findings) -> bool {
        let Some(value) = self.raw(key) else {
            return default;
        };
        value.as_bool().unwrap_or_else(|| {
            findings.add(self.place(key), "must be true or false");
            default
        })
    }

    /// Reads an optional string.
    pub fn text_or(&mut self, key: &'static str, default: &str, findings: &mut Findings) -> String {
        let Some(value) = self.raw(key) else {
            return default.to_owned();
        };
        match value.as_str() {
            Some(text) => text.to_owned(),
            None => {
                findings.add(self.place(key), "must be a text");
                default.to_owned()
            }
        }
    }

    /// Reads a required string.
    pub fn text(&mut self, key: &'static str, findings: &mut Findings) -> String {
        if !self.map.contains_key(key) {
            findings.add(self.place(key), "is missing: a text");
        }
        self.text_or(key, "", findings)
    }

    /// Reads a required name; see [`check_name`].
    pub fn name(&mut self, key: &'static str, findings: &mut Findings) -> Name {
        let text = self.text(key, findings);
        if self.map.get(key).is_some_and(Value::is_string) {
            check_name(&text, &self.place(key), findings);
        }
        text.into()
    }

    /// Reads an optional string that must be one of `choices`.
    pub fn choice_or<T: Copy>(
        &mut self,
        key: &'static str,
        default: T,
        choices: &[(&str, T)],
        findings: &mut Findings,
    ) -> T {
        let Some(value) = self.raw(key) else {
            return default;
        };
        let found = choices.iter().find(|(text, _)| value == text);
        if let Some((_, choice)) = found {
            return *choice;
        }
        let texts: Vec<&str> = choices.iter().map(|(text, _)| *text).collect();
        findings.add(
            self.place(key),
            format!("must be one of: {}", texts.join(", ")),
        );
        default
    }

    /// Reads an optional list of at most `most` items, and returns each with its JSON pointer.
    pub fn list(
        &mut self,
        key: &'static str,
        most: usize,
        findings: &mut Findings,
    ) -> Vec<(String, &'a Value)> {
        let Some(value) = self.raw(key) else {
            return Vec::new();
        };
        let place = self.place(key);
        let Value::Array(items) = value else {
            findings.add(place, "must be a list");
            return Vec::new();
        };
        if items.len() > most {
            findings.add(place, format!("must have at most {most} items"));
            return Vec::new();
        }
        let numbered = items.iter().enumerate();
        numbered
            .map(|(i, item)| (format!("{place}/{i}"), item))
            .collect()
    }

    /// Adds a finding for each field of the object that was not read.
    pub fn finish(self, findings: &mut Findings) {
        for key in self.map.keys() {
            if !self.known.contains(&key.as_str()) {
                findings.add(self.place(key), "is not known here");
            }
        }
    }
}

/// Checks that `text` is a valid name: 1 to 64 lower-case letters, digits, `.`, `_` and `-`.
pub fn check_name(text: &str, place: &str, findings: &mut Findings) {
    let fits = (1..=NAME_MAX_BYTES).contains(&text.len());
    let clean = text
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"._-".contains(&b));
    if !fits || !clean {
        findings.add(
            place,
            "must be 1 to 64 lower-case letters, digits, '.', '_' or '-'",
        );
    }
}

fn range_text(range: &RangeInclusive<u64>) -> String {
    format!(
        "must be a whole number from {} to {}",
        range.start(),
        range.end()
    )
}
