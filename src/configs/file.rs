//! Loads the settings of a process from a file of JSON with comments.

use super::Settings;
use super::check;
use super::source::Source;
use crate::prelude::*;
use std::path::Path;

/// The maximum size of a settings file, in bytes.
pub const FILE_MAX_BYTES: u64 = 1_048_576;

/// The result of loading.
pub type Result<T> = std::result::Result<T, Findings>;

/// Loads and validates the settings in the file `path`.
///
/// # Errors
///
/// The reason why the file cannot be read, or all findings, each with `file:line:column` and the
/// JSON pointer of the key. A process does not start if there are any.
pub fn load(path: impl AsRef<Path>) -> Result<Settings> {
    let path = path.as_ref();
    let text = read(path)?;
    parse(&path.display().to_string(), &text)
}

/// Parses and validates settings; `file` is the file name for findings.
///
/// # Errors
///
/// The same as for [`load`], but for reading the file.
pub fn parse(file: &str, text: &str) -> Result<Settings> {
    let source = Source::parse(file, text)?;
    check::check(&source.value()).map_err(|findings| source.locate(findings))
}

/// Reads a text file of at most [`FILE_MAX_BYTES`].
///
/// # Errors
///
/// The reason why it cannot be read.
pub fn read(path: &Path) -> Result<String> {
    let file = path.display().to_string();
    let unreadable = |text: String| Findings::one(file.clone(), text);
    let found = std::fs::metadata(path).map_err(|error| unreadable(error.to_string()))?;
    if !found.is_file() {
        return Err(unreadable("is not a regular file".to_owned()));
    }
    if found.len() > FILE_MAX_BYTES {
        let text = format!("must have at most {FILE_MAX_BYTES} bytes");
        return Err(unreadable(text));
    }
    std::fs::read_to_string(path).map_err(|error| unreadable(error.to_string()))
}
