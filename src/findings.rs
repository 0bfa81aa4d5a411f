//! Findings: all validation errors of an input, each with its place, reported together.

use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// The maximum length of the place or text of a shortened finding, in bytes, without the `...`.
pub const SHORT_MAX_BYTES: usize = 200;

/// One validation error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where it is: a JSON pointer, prefixed with `file:line:column` if the input is a file.
    pub place: String,
    /// What is wrong and what is accepted instead.
    pub text: String,
}

/// All findings of one input, in the order in which they were found.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings {
    /// The individual findings.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Creates a list with a single finding.
    pub fn one(place: impl Into<String>, text: impl Into<String>) -> Self {
        let mut findings = Self::default();
        findings.add(place, text);
        findings
    }

    /// Appends a finding.
    pub fn add(&mut self, place: impl Into<String>, text: impl Into<String>) {
        self.list.push(Finding {
            place: place.into(),
            text: text.into(),
        });
    }

    /// Keeps the first `most` findings, truncates long texts, and adds a finding with the number of
    /// omitted ones.
    pub fn shorten(&mut self, most: usize) {
        for finding in &mut self.list {
            cut(&mut finding.place);
            cut(&mut finding.text);
        }
        let more = self.list.len().saturating_sub(most);
        if more > 0 {
            self.list.truncate(most);
            self.add("", format!("{more} more findings are not listed"));
        }
    }

    /// Returns whether the input is valid.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}

fn cut(text: &mut String) {
    if text.len() > SHORT_MAX_BYTES {
        text.truncate(text.floor_char_boundary(SHORT_MAX_BYTES));
        text.push_str("...");
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.list.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {}", finding.place, finding.text)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
