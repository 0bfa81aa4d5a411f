//! Reads configuration records from files.

use crate::configs::source::Source;
use crate::prelude::*;
use crate::reducer::ledger::change;
use crate::reducer::ledger::change::Change;
use crate::reducer::ledger::change::DecodeError;
use crate::reducer::ledger::change::MAX_SCHEMA;

/// A record that was read from a file and is valid by itself.
#[derive(Debug)]
pub(super) struct Record {
    /// The file's path.
    pub(super) file: String,
    pub(super) change: Change,
    /// The file's text.
    pub(super) text: String,
    /// The record without comments, as it is appended.
    pub(super) data: String,
}

/// Returns whether a parsed file is a configuration record and not settings.
pub(super) fn is_record(source: &Source<'_>) -> bool {
    let value = source.value();
    let keys = ["schema", "change", "object", "replaces"];
    keys.iter().any(|key| value.get(key).is_some())
}

/// Decodes the record of a file.
///
/// # Errors
///
/// Every finding with file, line and column.
pub(super) fn decode(file: &str, source: &Source<'_>) -> std::result::Result<Record, Findings> {
    let value = source.value();
    let data = value.to_string();
    match change::decode(data.as_bytes()) {
        Ok(change) => Ok(Record {
            file: file.to_owned(),
            change,
            text: source.text().to_owned(),
            data,
        }),
        Err(DecodeError::Invalid(findings)) => Err(source.locate(findings)),
        Err(DecodeError::TooNew(schema)) => {
            let text = format!("{schema} is newer than this version supports ({MAX_SCHEMA})");
            Err(source.locate(Findings::one("/schema", text)))
        }
    }
}
