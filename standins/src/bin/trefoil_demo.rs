//! Runs a deployment in one process for a few seconds, and prints the outcome of every call.

use argh::FromArgs;
use std::process::ExitCode;
use trefoilgauge::modules::main::start_log;
use trefoilgauge_standins::demo;
use trefoilgauge_standins::demo::Options;
use trefoilgauge_standins::demo::report::Report;
use trefoilgauge_standins::platform::Deployment;

/// Run a deployment of 7 VMs against stand-ins of the platform, under a short load.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// the deployment: instituto or atlas
    #[argh(option, default = "String::from(\"instituto\")")]
    deployment: String,
    /// duration of the load, in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// the seed of the load
    #[argh(option, default = "1")]
    seed: u64,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
    /// the minimum log level to print
    #[argh(option, default = "String::from(\"error\")")]
    level: String,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Some(deployment) = Deployment::named(&arguments.deployment) else {
        eprintln!("--deployment must be instituto or atlas");
        return ExitCode::from(2);
    };
    start_log(&arguments.level);
    let options = Options {
        deployment,
        seconds: arguments.seconds,
        seed: arguments.seed,
    };
    match demo::run(options).await {
        Ok(report) => {
            print(&report, arguments.json);
            ExitCode::from(u8::from(!report.broken.is_empty()))
        }
        Err(error) => {
            eprintln!("the demonstration could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn print(report: &Report, json: bool) {
    match serde_json::to_string_pretty(report) {
        Ok(text) if json => println!("{text}"),
        _ => print!("{report}"),
    }
}
