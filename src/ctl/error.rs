//! Why a command did not do what was asked, and the exit code that says so.

use crate::modules::http;
use crate::prelude::*;

/// The exit code for a refusal, or a change that is not in force.
pub(super) const REFUSED: u8 = 1;
/// The exit code for wrong usage and for findings.
pub(super) const WRONG: u8 = 2;
/// The exit code for a service that cannot be reached.
pub(super) const UNREACHABLE: u8 = 3;

/// Why a command failed.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {0}
    Refused(String),
    /// {0}
    Findings(Findings),
    /// {0}
    Usage(String),
    /// {0}
    Unreachable(String),
}

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Refused(_) => REFUSED,
            Self::Findings(_) | Self::Usage(_) => WRONG,
            Self::Unreachable(_) => UNREACHABLE,
        }
    }
}

impl std::error::Error for Error {}

impl From<Findings> for Error {
    fn from(findings: Findings) -> Self {
        Self::Findings(findings)
    }
}

/// Says that `addr` did not give a usable answer.
pub(super) fn unreachable(addr: &str, error: &http::Error) -> Error {
    Error::Unreachable(format!("{addr}: {error}"))
}
