//! Measures the scheduling policy and its cost, and checks the promises under faults:
//! `trefoil-bench policy|requests|scale|fleet|faults`.

use argh::FromArgs;
use serde::Serialize;
use std::process::ExitCode;
use trefoilgauge::bench;
use trefoilgauge::bench::Deployment;
use trefoilgauge::bench::faults::matrix;
use trefoilgauge::bench::faults::matrix::Verdict;
use trefoilgauge::bench::fleet;
use trefoilgauge::bench::report;
use trefoilgauge::bench::scale;

/// Measures the scheduling policy and its cost, and checks the promises under faults.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Policy(PolicyArgs),
    Requests(RequestsArgs),
    Faults(FaultsArgs),
    Scale(ScaleArgs),
    Fleet(FleetArgs),
}

/// Measures the cost of events and decisions at increasing sizes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "scale")]
struct ScaleArgs {
    /// print one line of JSON
    #[argh(switch)]
    json: bool,
}

/// Measures the leader's decisions on the users' platform at increasing sizes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetArgs {
    /// print one line of JSON
    #[argh(switch)]
    json: bool,
}

/// Replays a deployment's trace under each policy.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "policy")]
struct PolicyArgs {
    /// instituto or atlas
    #[argh(option, from_str_fn(deployment))]
    deployment: Deployment,
    /// the seed of the trace
    #[argh(option, default = "1")]
    seed: u64,
    /// print one line of JSON
    #[argh(switch)]
    json: bool,
}

/// Checks every promise at every step under every fault.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
struct FaultsArgs {
    /// the seed of the delays
    #[argh(option, default = "1")]
    seed: u64,
    /// leave out pairs of faults
    #[argh(switch)]
    single: bool,
    /// number of threads
    #[argh(option, default = "2")]
    threads: usize,
    /// print one line of JSON
    #[argh(switch)]
    json: bool,
}

/// Replays the request trace and shows refusals, distribution over runners and retries.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "requests")]
struct RequestsArgs {
    /// instituto or atlas
    #[argh(option, from_str_fn(deployment))]
    deployment: Deployment,
    /// the seed of the trace
    #[argh(option, default = "1")]
    seed: u64,
}

fn deployment(text: &str) -> Result<Deployment, String> {
    match text {
        "instituto" => Ok(Deployment::Instituto),
        "atlas" => Ok(Deployment::Atlas),
        _ => Err("must be instituto or atlas".into()),
    }
}

fn to_json(report: &impl Serialize, compact: bool) -> serde_json::Result<String> {
    match compact {
        true => serde_json::to_string(report),
        false => serde_json::to_string_pretty(report),
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut code = ExitCode::SUCCESS;
    let text = match args.command {
        Command::Requests(args) => {
            let rows = bench::requests::details::run(args.deployment, args.seed);
            serde_json::to_string(&rows)
        }
        Command::Policy(args) => {
            let found = report::run(&bench::parts(), args.deployment, args.seed);
            to_json(&found, args.json)
        }
        Command::Faults(args) => {
            let found = matrix::run(args.seed, !args.single, args.threads);
            if found.count(Verdict::Broken) > 0 {
                code = ExitCode::FAILURE;
            }
            match args.json {
                true => serde_json::to_string(&found),
                false => Ok(summary(&found)),
            }
        }
        Command::Scale(args) => to_json(&scale::run(), args.json),
        Command::Fleet(args) => to_json(&fleet::run(), args.json),
    };
    match text {
        Ok(text) => {
            println!("{text}");
            code
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Lists the broken cells, and counts the cells by verdict.
fn summary(report: &matrix::Report) -> String {
    let mut text = String::new();
    for cell in &report.cells {
        if cell.verdict == Verdict::Broken {
            text.push_str(&format!(
                "broken {:?} at {:?} under {}: {}\n",
                cell.promise, cell.step, cell.fault, cell.detail
            ));
        }
    }
    text.push_str(&format!(
        "seed {}: {} held, {} broken, {} not run; longest times {:?}",
        report.seed,
        report.count(Verdict::Held),
        report.count(Verdict::Broken),
        report.count(Verdict::NotRun),
        report.bounds
    ));
    text
}
