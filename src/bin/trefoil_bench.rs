//! Measures the policy and its cost: `trefoil-bench policy|scale`.

use argh::FromArgs;
use serde::Serialize;
use std::process::ExitCode;
use trefoilgauge::bench;
use trefoilgauge::bench::Deployment;
use trefoilgauge::bench::report;
use trefoilgauge::bench::scale;

/// Measures the policy and its cost.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Policy(PolicyArgs),
    Scale(ScaleArgs),
}

/// Measures the cost of events and decisions at growing sizes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "scale")]
struct ScaleArgs {
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

fn deployment(text: &str) -> Result<Deployment, String> {
    match text {
        "instituto" => Ok(Deployment::Instituto),
        "atlas" => Ok(Deployment::Atlas),
        _ => Err("must be instituto or atlas".into()),
    }
}

fn print(report: &impl Serialize, line: bool) -> serde_json::Result<String> {
    match line {
        true => serde_json::to_string(report),
        false => serde_json::to_string_pretty(report),
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let text = match args.command {
        Command::Policy(args) => {
            let found = report::run(&bench::parts(), args.deployment, args.seed);
            print(&found, args.json)
        }
        Command::Scale(args) => print(&scale::run(), args.json),
    };
    match text {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
