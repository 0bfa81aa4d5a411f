//! `trefoilctl validate`: checks settings and configuration records without changing anything.

use super::Result;
use super::records;
use super::records::Record;
use super::render;
use crate::configs::check;
use crate::configs::file;
use crate::configs::source::Source;
use crate::prelude::*;
use crate::records::Batch;
use crate::records::BatchId;
use crate::records::CONTROL_SCHEMA;
use crate::reducer::ledger::Ledger;
use crate::reducer::ledger::Staged;
use crate::reducer::ledger::StagedRecord;
use argh::FromArgs;
use std::path::Path;

/// Check settings and configuration records; every finding is printed with file, line and key.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "validate")]
pub(super) struct Args {
    /// settings files and configuration records
    #[argh(positional)]
    files: Vec<String>,
    /// also check the records together, applied in the given order to an empty configuration
    #[argh(switch)]
    together: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

pub(super) fn run(args: &Args) -> Result<()> {
    if args.files.is_empty() {
        return Err(super::Error::Usage("needs at least one file".to_owned()));
    }
    let mut findings = Findings::default();
    let mut records = Vec::new();
    for path in &args.files {
        match check_file(path) {
            Ok(record) => records.extend(record),
            Err(found) => findings.list.extend(found.list),
        }
    }
    if args.together && findings.is_empty() {
        check_together(&records, &mut findings);
    }
    if args.json {
        render::json(&findings)?;
    }
    match findings.is_empty() {
        true if args.json => Ok(()),
        true => {
            println!("{} files checked, nothing found", args.files.len());
            Ok(())
        }
        false => Err(findings.into()),
    }
}

/// Returns the record of the file, or nothing if it holds settings.
fn check_file(path: &str) -> std::result::Result<Option<Record>, Findings> {
    let text = file::read(Path::new(path))?;
    let source = Source::parse(path, &text)?;
    if records::is_record(&source) {
        return records::decode(path, &source).map(Some);
    }
    let checked = check::check(&source.value());
    checked.map_err(|findings| source.locate(findings))?;
    Ok(None)
}

/// Applies the records to an empty ledger, as every VM would.
fn check_together(records: &[Record], findings: &mut Findings) {
    let mut staged = Staged::default();
    for record in records {
        staged.records.push_back(StagedRecord {
            offset: staged.next,
            data: record.data.clone().into_bytes(),
        });
        staged.next += 1;
    }
    let batch = Batch {
        schema: CONTROL_SCHEMA,
        id: BatchId {
            writer: "trefoilctl/validate".into(),
            boot: 1,
            seq: 1,
        },
        at_ms: 0,
        cfg: staged.next,
        entries: Vec::new(),
    };
    let applied = Ledger::default().apply(0, &batch, &mut staged);
    for (record, verdict) in records.iter().zip(applied.changes) {
        let located = match Source::parse(&record.file, &record.text) {
            Ok(source) => source.locate(verdict.refused),
            Err(found) => found,
        };
        findings.list.extend(located.list);
    }
}
