//! `trefoilctl explain`: every step of a request or job, from the log alone or from collected logs.

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
    /// a file with what trefoil-vm wrote, - for standard input; may be given for each VM
    #[argh(option)]
    logs: Vec<String>,
    /// the address of the log, IP:port
    #[argh(option)]
    log: Option<String>,
    /// a settings file to take the address from
    #[argh(option)]
    settings: Option<String>,
    /// the longest wait for one answer, in milliseconds
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
    let oldest = log.oldest(CONTROL_STREAM).await?;
    let base = match oldest == 0 && config.first == 0 {
        true => Ledger::default(),
        false => log.checkpoint().await?,
    };
    let mut found = Collector::open(id.clone(), base, config);
    let take = |record: LogRecord| found.take_control(&record);
    let control = log.each(CONTROL_STREAM, 0, take).await?;
    let take = |record: LogRecord| found.take_audit(&record);
    let audit = log.each(AUDIT_STREAM, 0, take).await?;
    let steps = found.finish(control, audit);
    match args.json {
        true => render::json(&steps)?,
        false => print(&steps),
    }
    match steps.list.is_empty() {
        true => Err(Error::Refused(format!(
            "the log keeps nothing of {id} (audit from {audit}, control from {control})"
        ))),
        false => Ok(()),
    }
}

fn print(steps: &Steps) {
    let head = ["time", "record", "process", "config", "decision", "reason"];
    if !steps.list.is_empty() {
        render::table(&head, steps.list.iter().map(line));
    }
    for gap in &steps.gaps {
        eprintln!("note: {gap}");
    }
}

fn line(step: &Step) -> Vec<String> {
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
