//! The cases.

mod drift;
mod failed;
mod frozen;
mod holders;
mod large;
mod overlap;
mod renewal;
mod world;

use crate::Verdict;
use crate::record::Record;
use std::path::PathBuf;

/// Runs a case with the `trefoil-vm` at `program`.
pub(crate) async fn run(case: &str, program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    match case {
        "drift" => drift::run(program, trouble, record).await,
        "failed" => failed::run(program, trouble, record).await,
        "frozen" => frozen::run(program, trouble, record).await,
        "holders" => holders::run(program, trouble, record).await,
        "large" => large::run(program, trouble, record).await,
        "renewal" => renewal::run(program, trouble, record).await,
        _ => Verdict::NotRun(format!("there is no case {case}")),
    }
}
