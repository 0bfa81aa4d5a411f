//! `trefoilctl publish`: appends configuration records and waits until they are in force.

use super::Error;
use super::Result;
use super::log::Append;
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

/// The time between two questions to a VM, in milliseconds.
const ASK_MS: u64 = 100;

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
    /// the operators' address of a process that must have the change in force; may be repeated
    #[argh(option)]
    vm: Vec<String>,
    /// a settings file to take the addresses from
    #[argh(option)]
    settings: Option<String>,
    /// the longest wait until a change is in force, in milliseconds
    #[argh(option, default = "10000")]
    wait_ms: u64,
    /// the longest wait for one answer, in milliseconds
    #[argh(option, default = "2000")]
    call_ms: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// What is known of a change on one VM.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Seen {
    /// It has not come into force there in time.
    Waiting,
    /// It is in force since this control offset.
    InForce(Offset),
    /// It was refused.
    Refused(Findings),
    /// The VM knows too old a schema and has left rotation.
    TooNew,
    /// The VM did not answer.
    Unreachable(String),
}

/// What is known of a change on one VM, with the VM.
#[derive(Debug, Serialize)]
struct Place {
    vm: Name,
    seen: Seen,
}

/// What became of one record.
#[derive(Debug, Serialize)]
struct Report {
    file: String,
    change: Name,
    object: String,
    offset: Offset,
    /// The version to name in the next change of this object, unless this one was refused.
    version: Option<Offset>,
    places: Vec<Place>,
}

/// Everything that publishing needs.
struct Publisher {
    client: Client,
    log: Log,
    vms: Vec<Name>,
    wait: Duration,
}

pub(super) async fn run(args: &Args) -> Result<()> {
    let records = read_all(&args.files)?;
    let settings = args.settings.as_deref();
    let addr = targets::log_addr(args.log.as_deref(), settings)?;
    let publisher = Publisher {
        log: Log::open(addr, args.call_ms),
        client: Client::new(args.call_ms),
        vms: targets::vm_addrs(&args.vm, settings)?,
        wait: Duration::from_millis(args.wait_ms),
    };
    let mut reports = Vec::new();
    let mut verdict = Ok(());
    for record in &records {
        let report = match publisher.publish(record).await {
            Ok(report) => report,
            Err(error) => {
                verdict = Err(error);
                break;
            }
        };
        if !args.json {
            print(&report);
        }
        verdict = judge(&report);
        reports.push(report);
        if verdict.is_err() {
            break;
        }
    }
    if args.json {
        render::json(&reports)?;
    }
    if verdict.is_err() && reports.len() < records.len() {
        let left = records.len() - reports.len();
        eprintln!("{left} of {} records were not published", records.len());
    }
    verdict
}

/// Reads and checks every record before the first is published.
fn read_all(files: &[String]) -> Result<Vec<Record>> {
    if files.is_empty() {
        return Err(Error::Usage("needs at least one file".to_owned()));
    }
    let mut findings = Findings::default();
    let mut records = Vec::new();
    for path in files {
        match read_one(path) {
            Ok(record) => records.push(record),
            Err(found) => findings.list.extend(found.list),
        }
    }
    match findings.is_empty() {
        true => Ok(records),
        false => Err(findings.into()),
    }
}

fn read_one(path: &str) -> std::result::Result<Record, Findings> {
    let text = file::read(Path::new(path))?;
    let source = Source::parse(path, &text)?;
    records::decode(path, &source)
}

impl Publisher {
    async fn publish(&self, record: &Record) -> Result<Report> {
        let offset = self.append(record).await?;
        let places = self.wait(&record.change.id, offset).await;
        let mut seen = places.iter().map(|place| &place.seen);
        let refused = seen.any(|seen| matches!(seen, Seen::Refused(_)));
        Ok(Report {
            file: record.file.clone(),
            change: record.change.id.clone(),
            object: object_path(record.change.class, &record.change.name),
            offset,
            version: (!refused).then_some(offset + 1),
            places,
        })
    }

    /// Appends the record once; an answer that was lost is settled by reading it back.
    async fn append(&self, record: &Record) -> Result<Offset> {
        let before = self.log.next(CONFIG_STREAM).await?;
        match self.log.append(CONFIG_STREAM, record.data.clone()).await {
            Append::Done(offset) => Ok(offset),
            Append::Refused(cause) => Err(Error::Refused(format!("{}: {cause}", record.file))),
            Append::Uncertain(cause) => {
                eprintln!("{}: {cause}; reading back", record.file);
                self.find(record, before).await
            }
        }
    }

    async fn find(&self, record: &Record, from: Offset) -> Result<Offset> {
        let end = Instant::now() + self.wait;
        loop {
            if let Ok(stream) = self.log.read(CONFIG_STREAM, from).await {
                let mut records = stream.records.iter();
                if let Some(found) = records.find(|found| found.data == record.data) {
                    return Ok(found.offset);
                }
            }
            if Instant::now() >= end {
                let text = format!(
                    "{}: the append had no answer and the record was not read back: it may still \
                     be in the log; look with `trefoilctl changes` before publishing it again",
                    record.file
                );
                return Err(Error::Unreachable(text));
            }
            tokio::time::sleep(Duration::from_millis(ASK_MS)).await;
        }
    }

    /// Asks every VM until each has a verdict or the time is over.
    async fn wait(&self, change: &Name, offset: Offset) -> Vec<Place> {
        let end = Instant::now() + self.wait;
        let mut places: Vec<Place> = self.vms.iter().cloned().map(waiting).collect();
        let mut told = 0;
        if !places.is_empty() {
            eprintln!(
                "{change}: record {offset}, waiting for {} VMs",
                places.len()
            );
        }
        loop {
            for place in &mut places {
                if matches!(place.seen, Seen::Waiting | Seen::Unreachable(_)) {
                    place.seen = self.ask(&place.vm, change, offset).await;
                }
            }
            let open = places.iter().filter(|place| is_open(&place.seen)).count();
            let done = places.len() - open;
            if done > told && open > 0 {
                eprintln!("{change}: {done} of {} VMs have a verdict", places.len());
                told = done;
            }
            if open == 0 || Instant::now() >= end {
                return places;
            }
            tokio::time::sleep(Duration::from_millis(ASK_MS)).await;
        }
    }

    async fn ask(&self, vm: &Name, change: &Name, offset: Offset) -> Seen {
        let path = format!("/ops/changes/{change}");
        match self.client.get::<ChangeVerdict>(vm, &path, 0).await {
            Ok(ruled) if ruled.offset != offset => Seen::Waiting,
            Ok(ruled) if ruled.newer.is_some() => Seen::TooNew,
            Ok(ruled) if ruled.refused.is_empty() => Seen::InForce(ruled.control),
            Ok(ruled) => Seen::Refused(ruled.refused),
            Err(http::Error::Status(404, _)) => Seen::Waiting,
            Err(error) => Seen::Unreachable(error.to_string()),
        }
    }
}

fn waiting(vm: Name) -> Place {
    Place {
        vm,
        seen: Seen::Waiting,
    }
}

fn is_open(seen: &Seen) -> bool {
    matches!(seen, Seen::Waiting | Seen::Unreachable(_))
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
            Seen::Waiting => "not in force in time".to_owned(),
            Seen::InForce(control) => format!("in force since control record {control}"),
            Seen::Refused(findings) => format!("refused: {findings}"),
            Seen::TooNew => "has too new a schema for this VM, which left rotation".to_owned(),
            Seen::Unreachable(cause) => format!("unreachable: {cause}"),
        };
        println!("  {}: {text}", place.vm);
    }
}

fn judge(report: &Report) -> Result<()> {
    let change = &report.change;
    for place in &report.places {
        if let Seen::Refused(findings) = &place.seen {
            let text = format!("{change} was refused and is in force nowhere: {findings}");
            return Err(Error::Refused(text));
        }
    }
    for place in &report.places {
        match &place.seen {
            Seen::InForce(_) | Seen::Refused(_) => {}
            Seen::Waiting | Seen::TooNew => {
                let text = format!("{change} is not in force on {}", place.vm);
                return Err(Error::Refused(text));
            }
            Seen::Unreachable(cause) => return Err(Error::Unreachable(cause.clone())),
        }
    }
    Ok(())
}
