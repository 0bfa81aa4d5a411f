//! `trefoilctl publish`: appends configuration records and waits until they are in force.

use super::Error;
use super::Result;
use super::log::AppendOutcome;
use super::log::Log;
use super::records;
use super::records::Record;
use super::render;
use super::targets;
use crate::configs::file;
use crate::configs::source::Source;
use crate::modules::http;
use crate::modules::http::Client;
use crate::modules::log::CONFIG_STREAM;
use crate::prelude::*;
use crate::reducer::ledger::catalog::ChangeVerdict;
use crate::reducer::ledger::catalog::object_path;
use argh::FromArgs;
use serde::Serialize;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

/// The interval between polls of the VMs or of the log, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Publish configuration records, in the given order, and wait until each is in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub(super) struct Args {
    /// configuration records, one in each file
    #[argh(positional)]
    files: Vec<String>,
    /// the address of the log, IP:port
    #[argh(option)]
    log: Option<String>,
    /// the operators' address of a process to wait for until the change is in force there; may be
    /// repeated
    #[argh(option)]
    vm: Vec<String>,
    /// a settings file to read the addresses from
    #[argh(option)]
    settings: Option<String>,
    /// the timeout until a change is in force, in milliseconds
    #[argh(option, default = "10000")]
    wait_ms: u64,
    /// the timeout of one response, in milliseconds
    #[argh(option, default = "2000")]
    call_ms: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// The status of a change on one VM.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum ChangeStatus {
    /// The VM has no verdict yet, or had none before the timeout.
    Waiting,
    /// It is in force since this control offset.
    InForce(Offset),
    /// It was refused.
    Refused(Findings),
    /// The VM does not support the record's schema and has left rotation.
    TooNew,
    /// The VM did not respond.
    Unreachable(String),
}

/// A VM and the status of a change there.
#[derive(Debug, Serialize)]
struct VmStatus {
    vm: Name,
    seen: ChangeStatus,
}

/// The result of publishing one record.
#[derive(Debug, Serialize)]
struct Report {
    file: String,
    change: Name,
    object: String,
    offset: Offset,
    /// The version to name in the next change of this object, unless this one was refused.
    version: Option<Offset>,
    places: Vec<VmStatus>,
}

/// Publishes records and waits for the verdicts of the VMs.
struct Publisher {
    client: Client,
    log: Log,
    vms: Vec<Name>,
    timeout: Duration,
}

pub(super) async fn run(args: &Args) -> Result<()> {
    let records = read_records(&args.files)?;
    let settings = args.settings.as_deref();
    let addr = targets::log_addr(args.log.as_deref(), settings)?;
    let publisher = Publisher {
        log: Log::open(addr, args.call_ms),
        client: Client::new(args.call_ms),
        vms: targets::vm_addrs(&args.vm, settings)?,
        timeout: Duration::from_millis(args.wait_ms),
    };
    let mut reports = Vec::new();
    let mut result = Ok(());
    for record in &records {
        let report = match publisher.publish(record).await {
            Ok(report) => report,
            Err(error) => {
                result = Err(error);
                break;
            }
        };
        if !args.json {
            print(&report);
        }
        result = check_report(&report);
        reports.push(report);
        if result.is_err() {
            break;
        }
    }
    if args.json {
        render::json(&reports)?;
    }
    if result.is_err() && reports.len() < records.len() {
        let left = records.len() - reports.len();
        eprintln!("{left} of {} records were not published", records.len());
    }
    result
}

/// Reads and checks all records, so that none is published if one is invalid.
fn read_records(files: &[String]) -> Result<Vec<Record>> {
    if files.is_empty() {
        return Err(Error::Usage("needs at least one file".to_owned()));
    }
    let mut findings = Findings::default();
    let mut records = Vec::new();
    for path in files {
        match read_record(path) {
            Ok(record) => records.push(record),
            Err(found) => findings.list.extend(found.list),
        }
    }
    match findings.is_empty() {
        true => Ok(records),
        false => Err(findings.into()),
    }
}

fn read_record(path: &str) -> std::result::Result<Record, Findings> {
    let text = file::read(Path::new(path))?;
    let source = Source::parse(path, &text)?;
    records::decode(path, &source)
}

impl Publisher {
    async fn publish(&self, record: &Record) -> Result<Report> {
        let offset = self.append(record).await?;
        let places = self.wait_for_verdicts(&record.change.id, offset).await;
        let mut seen = places.iter().map(|place| &place.seen);
        let refused = seen.any(|seen| matches!(seen, ChangeStatus::Refused(_)));
        Ok(Report {
            file: record.file.clone(),
            change: record.change.id.clone(),
            object: object_path(record.change.class, &record.change.name),
            offset,
            version: (!refused).then_some(offset + 1),
            places,
        })
    }

    /// Appends the record once; if no response arrives, reads the log to find out whether it was
    /// appended.
    async fn append(&self, record: &Record) -> Result<Offset> {
        let before = self.log.next_offset(CONFIG_STREAM).await?;
        match self.log.append(CONFIG_STREAM, record.data.clone()).await {
            AppendOutcome::Done(offset) => Ok(offset),
            AppendOutcome::Refused(cause) => {
                Err(Error::Refused(format!("{}: {cause}", record.file)))
            }
            AppendOutcome::Uncertain(cause) => {
                eprintln!("{}: {cause}; reading the log back", record.file);
                self.find_appended(record, before).await
            }
        }
    }

    async fn find_appended(&self, record: &Record, from: Offset) -> Result<Offset> {
        let deadline = Instant::now() + self.timeout;
        loop {
            if let Ok(stream) = self.log.read(CONFIG_STREAM, from).await {
                let mut records = stream.records.iter();
                if let Some(found) = records.find(|found| found.data == record.data) {
                    return Ok(found.offset);
                }
            }
            if Instant::now() >= deadline {
                let text = format!(
                    "{}: the append got no response and the record could not be read back in time: it \
                     may be in the log; check `trefoilctl changes` before publishing it again",
                    record.file
                );
                return Err(Error::Unreachable(text));
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Polls the VMs until each has a verdict or the timeout expires.
    async fn wait_for_verdicts(&self, change: &Name, offset: Offset) -> Vec<VmStatus> {
        let deadline = Instant::now() + self.timeout;
        let mut places: Vec<VmStatus> = self.vms.iter().cloned().map(waiting).collect();
        let mut reported = 0;
        if !places.is_empty() {
            eprintln!(
                "{change}: record {offset}, waiting for {} VMs",
                places.len()
            );
        }
        loop {
            for place in &mut places {
                if matches!(
                    place.seen,
                    ChangeStatus::Waiting | ChangeStatus::Unreachable(_)
                ) {
                    place.seen = self.fetch_status(&place.vm, change, offset).await;
                }
            }
            let pending = places
                .iter()
                .filter(|place| is_pending(&place.seen))
                .count();
            let done = places.len() - pending;
            if done > reported && pending > 0 {
                eprintln!("{change}: {done} of {} VMs have a verdict", places.len());
                reported = done;
            }
            if pending == 0 || Instant::now() >= deadline {
                return places;
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    async fn fetch_status(&self, vm: &Name, change: &Name, offset: Offset) -> ChangeStatus {
        let path = format!("/ops/changes/{change}");
        match self.client.get::<ChangeVerdict>(vm, &path, 0).await {
            Ok(verdict) if verdict.offset != offset => ChangeStatus::Waiting,
            Ok(verdict) if verdict.newer.is_some() => ChangeStatus::TooNew,
            Ok(verdict) if verdict.refused.is_empty() => ChangeStatus::InForce(verdict.control),
            Ok(verdict) => ChangeStatus::Refused(verdict.refused),
            Err(http::Error::Status(404, _)) => ChangeStatus::Waiting,
            Err(error) => ChangeStatus::Unreachable(error.to_string()),
        }
    }
}

fn waiting(vm: Name) -> VmStatus {
    VmStatus {
        vm,
        seen: ChangeStatus::Waiting,
    }
}

fn is_pending(seen: &ChangeStatus) -> bool {
    matches!(seen, ChangeStatus::Waiting | ChangeStatus::Unreachable(_))
}

fn print(report: &Report) {
    let next = match report.version {
        Some(version) => format!("; the next change of {} replaces {version}", report.object),
        None => String::new(),
    };
    println!(
        "{}: {} is record {} of the log{next}",
        report.file, report.change, report.offset
    );
    for place in &report.places {
        let text = match &place.seen {
            ChangeStatus::Waiting => "not in force in time".to_owned(),
            ChangeStatus::InForce(control) => format!("in force since control record {control}"),
            ChangeStatus::Refused(findings) => format!("refused: {findings}"),
            ChangeStatus::TooNew => {
                "has too new a schema for this VM, which left rotation".to_owned()
            }
            ChangeStatus::Unreachable(cause) => format!("unreachable: {cause}"),
        };
        println!("  {}: {text}", place.vm);
    }
}

fn check_report(report: &Report) -> Result<()> {
    let change = &report.change;
    for place in &report.places {
        if let ChangeStatus::Refused(findings) = &place.seen {
            let text = format!("{change} was refused and is in force nowhere: {findings}");
            return Err(Error::Refused(text));
        }
    }
    for place in &report.places {
        match &place.seen {
            ChangeStatus::InForce(_) | ChangeStatus::Refused(_) => {}
            ChangeStatus::Waiting | ChangeStatus::TooNew => {
                let text = format!("{change} is not in force on {}", place.vm);
                return Err(Error::Refused(text));
            }
            ChangeStatus::Unreachable(cause) => return Err(Error::Unreachable(cause.clone())),
        }
    }
    Ok(())
}
