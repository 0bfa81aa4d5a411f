//! The common `main` of the long-running processes: arguments, settings, logging and signals.

use super::process;
use crate::configs::Settings;
use crate::configs::file;
use crate::context::Process;
use argh::FromArgs;
use log::LevelFilter;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;
use std::process::ExitCode;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Run one process of trefoilgauge until it receives SIGTERM or SIGINT.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// path of the settings file, JSON with comments
    #[argh(positional)]
    settings: String,
}

/// Runs a process: loads its settings, starts it, and drains it on SIGTERM or SIGINT.
pub fn run(process: Process) -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match file::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(2);
        }
    };
    start_log(&settings.ops.level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(serve(process, settings)),
        Err(error) => fail(&error),
    }
}

async fn serve(process: Process, settings: Settings) -> ExitCode {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return fail(&"cannot install handlers for SIGTERM and SIGINT");
    };
    let running = match process::spawn(process, settings).await {
        Ok(running) => running,
        Err(error) => return fail(&error),
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    running.drain().await;
    ExitCode::SUCCESS
}

/// Initialises logging to standard error for `level` and above.
pub fn start_log(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    if WriteLogger::init(level, config, std::io::stderr()).is_err() {
        eprintln!("logging is already initialised");
    }
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("cannot start: {error}");
    ExitCode::FAILURE
}
