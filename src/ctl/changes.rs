//! `trefoilctl changes`: the last verdicts on configuration changes, as one VM holds them.

use super::Result;
use super::render;
use super::targets;
use crate::reducer::ledger::catalog::ChangeVerdict;
use argh::FromArgs;

/// Print the last verdicts on configuration changes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "changes")]
pub(super) struct Args {
    /// the operators' address of the process, IP:port
    #[argh(option)]
    vm: Option<String>,
    /// a settings file to take the address from
    #[argh(option)]
    settings: Option<String>,
    /// the longest wait for an answer, in milliseconds
    #[argh(option, default = "5000")]
    call_ms: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

pub(super) async fn run(args: &Args) -> Result<()> {
    let addr = targets::vm_addr(args.vm.as_deref(), args.settings.as_deref())?;
    let list: Vec<ChangeVerdict> = targets::read(&addr, "/ops/changes", args.call_ms).await?;
    if args.json {
        return render::json(&list);
    }
    let head = ["offset", "change", "object", "control", "verdict"];
    render::table(&head, list.iter().map(line));
    Ok(())
}

fn line(ruled: &ChangeVerdict) -> Vec<String> {
    let verdict = match (&ruled.newer, ruled.refused.is_empty()) {
        (Some(schema), _) => format!("schema {schema} is too new"),
        (None, true) => "in force".to_owned(),
        (None, false) => format!("refused: {}", ruled.refused).replace('\n', "; "),
    };
    vec![
        ruled.offset.to_string(),
        ruled.change.to_string(),
        ruled.object.to_string(),
        ruled.control.to_string(),
        verdict,
    ]
}
