//! The operators' command line: one module for each command.
//!
//! Exit codes: 0 done, 1 refused or not in force, 2 wrong usage or findings, 3 unreachable.

mod changes;
mod entries;
mod error;
mod explain;
mod ledger;
mod lines;
mod log;
mod print_config;
mod publish;
mod records;
mod render;
mod state;
mod steps;
mod targets;
mod timings;
mod validate;

pub use error::Error;
pub use error::Result;

use argh::FromArgs;
use std::process::ExitCode;

/// The program name in usage texts.
const PROGRAM: &str = "trefoilctl";

/// Validates and publishes configuration, and explains what trefoilgauge did.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Exit codes: 0 done; 1 refused or not in force; 2 wrong usage or findings; 3 unreachable."
)]
pub struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Validate(validate::Args),
    Publish(publish::Args),
    Changes(changes::Args),
    Explain(explain::Args),
    Jobs(ledger::JobsArgs),
    Workspaces(ledger::WorkspacesArgs),
    Duplicates(ledger::DuplicatesArgs),
    State(state::Args),
    Timings(timings::Args),
    PrintConfig(print_config::Args),
}

/// Runs the command given by `args`, which do not include the program name.
pub fn run(args: &[String]) -> ExitCode {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let args = match Args::from_args(&[PROGRAM], &args) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return ExitCode::from(error::EXIT_INVALID);
        }
    };
    match run_blocking(args.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.code())
        }
    }
}

fn run_blocking(command: Command) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Unreachable(error.to_string()))?;
    runtime.block_on(dispatch(command))
}

async fn dispatch(command: Command) -> Result<()> {
    match command {
        Command::Validate(args) => validate::run(&args),
        Command::Publish(args) => publish::run(&args).await,
        Command::Changes(args) => changes::run(&args).await,
        Command::Explain(args) => explain::run(&args).await,
        Command::Jobs(args) => ledger::jobs(&args).await,
        Command::Workspaces(args) => ledger::workspaces(&args).await,
        Command::Duplicates(args) => ledger::duplicates(&args).await,
        Command::State(args) => state::run(&args).await,
        Command::Timings(args) => timings::run(&args).await,
        Command::PrintConfig(args) => print_config::run(&args),
    }
}
