//! Measures the policy and its cost: `trefoil-bench policy|scale`.

use argh::FromArgs;
use std::process::ExitCode;
use trefoilgauge::bench;
use trefoilgauge::bench::Deployment;
use trefoilgauge::bench::report;

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
    Requests(RequestsArgs),
}

/// Shows refusals, spread over runners and retries of the requests' replay.
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

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let text = match args.command {
        Command::Requests(args) => {
            let rows = bench::requests::details::run(args.deployment, args.seed);
            serde_json::to_string(&rows)
        }
        Command::Policy(args) => {
            let found = report::run(&bench::parts(), args.deployment, args.seed);
            match args.json {
                true => serde_json::to_string(&found),
                false => serde_json::to_string_pretty(&found),
            }
        }
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
