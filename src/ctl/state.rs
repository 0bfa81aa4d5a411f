//! `trefoilctl state`: the complete state of one process.

use super::Result;
use super::render;
use super::targets;
use argh::FromArgs;
use serde_json::Value;

/// Print the complete state of one process as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "state")]
pub(super) struct Args {
    /// the operators' address of the process, IP:port
    #[argh(positional)]
    vm: String,
    /// the response timeout, in milliseconds
    #[argh(option, default = "5000")]
    call_ms: u64,
    /// print JSON; the state is always printed as JSON
    #[argh(switch)]
    #[expect(dead_code, reason = "Every command accepts the switch.")]
    json: bool,
}

pub(super) async fn run(args: &Args) -> Result<()> {
    let addr = targets::check_addr("VM", &args.vm)?;
    let state: Value = targets::read(&addr, "/debug/state", args.call_ms).await?;
    render::json(&state)
}
