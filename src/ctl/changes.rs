//! `trefoilctl changes`: the latest verdicts on configuration changes, as held by one VM.

use super::Result;
use super::render;
use super::targets;
use crate::reducer::ledger::catalog::ChangeVerdict;
use argh::FromArgs;

/// Print the latest verdicts on configuration changes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "changes")]
pub(super) struct Args {
    /// the operators' address of the process, IP:port
    #[argh(option)]
    vm: Option<String>,
    /// a settings file to read the address from
    #[argh(option)]
    settings: Option<String>,
    /// the response timeout, in milliseconds
    #[argh(option, default = "5000")]
    call_ms: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

pub(super) async fn run(args: &Args) -> Result<()> {
    let addr = targets::vm_addr(args.vm.as_deref(), args.settings.as_deref())?;
    let changes: Vec<ChangeVerdict> = targets::read(&addr, "/ops/changes", args.call_ms).await?;
    if args.json {
        return render::json(&changes);
    }
    let head = ["offset", "change", "object", "control", "verdict"];
    render::table(&head, changes.iter().map(row));
    Ok(())
}

fn row(change: &ChangeVerdict) -> Vec<String> {
    let verdict = match (&change.newer, change.refused.is_empty()) {
        (Some(schema), _) => format!("schema {schema} is too new"),
        (None, true) => "in force".to_owned(),
        (None, false) => format!("refused: {}", change.refused).replace('\n', "; "),
    };
    vec![
        change.offset.to_string(),
        change.change.to_string(),
        change.object.to_string(),
        change.control.to_string(),
        verdict,
    ]
}
