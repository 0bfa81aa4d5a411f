//! `trefoilctl explain`: every step of a request or job, from the platform's log or from
//! collected VM logs.

use super::Error;
use super::Result;
use super::lines;
use super::log::Log;
use super::render;
use super::steps::Collector;
use super::steps::Step;
use super::steps::Steps;
use super::targets;
use crate::modules::log::AUDIT_STREAM;
use crate::modules::log::CONFIG_STREAM;
use crate::modules::log::CONTROL_STREAM;
use crate::platform::LogRecord;
use crate::prelude::*;
use crate::reducer::ledger::Ledger;
use argh::FromArgs;

/// Print every step of a request, job, change, worker or idempotency key: time, process,
/// decision, reason and the configuration offset in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(super) struct Args {
    /// the identifier
    #[argh(positional)]
    id: String,
    /// a log file of trefoil-vm, - for standard input; repeat it for each VM
    #[argh(option)]
    logs: Vec<String>,
    /// the address of the log, IP:port
    #[argh(option)]
    log: Option<String>,
    /// a settings file to read the address from
    #[argh(option)]
    settings: Option<String>,
    /// the timeout of one response, in milliseconds
    #[argh(option, default = "5000")]
    call_ms: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

pub(super) async fn run(args: &Args) -> Result<()> {
    if !args.logs.is_empty() {
        return lines::explain(&args.id, &args.logs, args.json);
    }
    let addr = targets::log_addr(args.log.as_deref(), args.settings.as_deref())?;
    let log = Log::open(addr, args.call_ms);
    let id: Name = args.id.as_str().into();
    let config = log.read(CONFIG_STREAM, 0).await?;
    let oldest = log.oldest_offset(CONTROL_STREAM).await?;
    let base = match oldest == 0 && config.first == 0 {
        true => Ledger::default(),
        false => log.checkpoint().await?,
    };
    let mut collector = Collector::open(id.clone(), base, config);
    let visit = |record: LogRecord| collector.add_control(&record);
    let control_start = log.for_each(CONTROL_STREAM, 0, visit).await?;
    let visit = |record: LogRecord| collector.add_audit(&record);
    let audit_start = log.for_each(AUDIT_STREAM, 0, visit).await?;
    let steps = collector.finish(control_start, audit_start);
    match args.json {
        true => render::json(&steps)?,
        false => print(&steps),
    }
    match steps.list.is_empty() {
        true => Err(Error::Refused(format!(
            "the log has no record of {id} (it keeps audit records from {audit_start} on and control \
             records from {control_start} on)"
        ))),
        false => Ok(()),
    }
}

fn print(steps: &Steps) {
    let head = ["time", "record", "process", "config", "decision", "reason"];
    if !steps.list.is_empty() {
        render::table(&head, steps.list.iter().map(row));
    }
    for gap in &steps.gaps {
        eprintln!("note: {gap}");
    }
}

fn row(step: &Step) -> Vec<String> {
    let vms = match step.vms.as_slice() {
        [] => String::new(),
        [vm] => vm.to_string(),
        [vm, others @ ..] => format!("{vm} and {} more", others.len()),
    };
    vec![
        render::utc(step.at_ms),
        format!("{}/{}", step.stream, step.offset),
        vms,
        step.cfg.to_string(),
        step.decision.clone(),
        step.reason.clone(),
    ]
}
