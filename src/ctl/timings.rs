//! `trefoilctl timings`: how long each step takes on one VM.

use super::Result;
use super::render;
use super::targets;
use crate::modules::timings::TimingRow;
use argh::FromArgs;

/// Print how long requests, jobs, appends and changes took on one VM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timings")]
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
    let rows: Vec<TimingRow> = targets::read(&addr, "/ops/timings", args.call_ms).await?;
    if args.json {
        return render::json(&rows);
    }
    render::table(
        &["event", "count", "mean us", "p99 us", "max us"],
        rows.iter().map(cells),
    );
    Ok(())
}

fn cells(row: &TimingRow) -> Vec<String> {
    vec![
        row.event.clone(),
        row.count.to_string(),
        format!("{:.1}", row.mean_us),
        row.p99_us.to_string(),
        row.max_us.to_string(),
    ]
}
