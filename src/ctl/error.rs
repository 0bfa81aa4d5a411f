//! Errors of commands, and their exit codes.

use crate::modules::http;
use crate::prelude::*;

/// The exit code if a request was refused or a change is not in force.
pub(super) const EXIT_REFUSED: u8 = 1;
/// The exit code for wrong usage or findings.
pub(super) const EXIT_INVALID: u8 = 2;
/// The exit code for a service that cannot be reached.
pub(super) const EXIT_UNREACHABLE: u8 = 3;

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
    /// Returns the exit code: 1 refused, 2 wrong usage or findings, 3 unreachable.
    pub fn code(&self) -> u8 {
        match self {
            Self::Refused(_) => EXIT_REFUSED,
            Self::Findings(_) | Self::Usage(_) => EXIT_INVALID,
            Self::Unreachable(_) => EXIT_UNREACHABLE,
        }
    }
}

impl std::error::Error for Error {}

impl From<Findings> for Error {
    fn from(findings: Findings) -> Self {
        Self::Findings(findings)
    }
}

/// Returns the error for an address that gave no usable response.
pub(super) fn unreachable(addr: &str, error: &http::Error) -> Error {
    Error::Unreachable(format!("{addr}: {error}"))
}
