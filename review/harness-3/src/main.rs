//! Stand-ins and cases of the third review: `review-harness-3 CASE ROOT RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod advisor;
mod cases;
mod cloud;
mod http;
mod json;
mod record;
mod runner;
mod store;
mod vm;
mod world;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, root, path] = &words[..] else {
        eprintln!("usage: review-harness-3 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(path.as_ref()) else {
        eprintln!("{path} cannot be written");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    record.line(&format!("case {case} trouble={trouble}"));
    let folder = std::env::temp_dir().join(format!("review-3-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let root = PathBuf::from(root);
    let verdict = cases::run(case, &root, &folder, &record, trouble);
    let (code, text) = match verdict {
        Some(Ok(())) => (0, "held".to_owned()),
        Some(Err(why)) => (1, format!("broken: {why}")),
        None => (2, "could not run".to_owned()),
    };
    record.line(&format!("verdict: {text}"));
    record.flush();
    println!("{case} trouble={trouble}: {text}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    ExitCode::from(code)
}
