//! Findings: everything that is wrong with an input, each with its place, reported together.

use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// The longest place or text of a shortened finding, in bytes.
pub const SHORT_MAX_BYTES: usize = 200;

/// One thing that is wrong with an input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where it is: a JSON pointer, with `file:line:column` in front where a file was read.
    pub place: String,
    /// What is wrong and what would be right.
    pub text: String,
}

/// All findings of one input, in the order in which they were met.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings {
    /// The findings themselves.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Makes findings that hold a single one.
    pub fn one(place: impl Into<String>, text: impl Into<String>) -> Self {
        let mut findings = Self::default();
        findings.add(place, text);
        findings
    }

    /// Adds a finding.
    pub fn add(&mut self, place: impl Into<String>, text: impl Into<String>) {
        self.list.push(Finding {
            place: place.into(),
            text: text.into(),
        });
    }

    /// Keeps the first `most` findings, cuts long texts, and says how many more there were.
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

    /// Tells whether nothing is wrong.
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
