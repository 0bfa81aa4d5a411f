//! Drivers of the cases: `review-harness-2 CASE PROGRAM RECORD`, with the disruption unless the
//! variable `TROUBLE` is 0. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run.

mod cases;
mod client;
mod cloud;
mod record;
mod relay;
mod runner;
mod store;
mod vm;

use record::Record;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(114);

/// What a case has found.
#[derive(Debug)]
enum Verdict {
    /// The rule held.
    Held(String),
    /// The rule was broken.
    Broken(String),
    /// The case could not run.
    NotRun(String),
}

/// Serves a router on a free port.
async fn serve(router: axum::Router) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await.unwrap() });
    addr
}

/// Waits for a case; ends it, and with it the processes that it started, after [`LIMIT`] or on a
/// signal to stop.
async fn finish(mut run: JoinHandle<Verdict>) -> Verdict {
    let mut terminate = signal(SignalKind::terminate()).unwrap();
    let why = tokio::select! {
        verdict = &mut run => {
            return verdict.unwrap_or_else(|error| Verdict::NotRun(error.to_string()));
        }
        () = tokio::time::sleep(LIMIT) => "it took too long",
        _ = terminate.recv() => "it was told to stop",
    };
    run.abort();
    // The processes have ended once the task has.
    let _aborted = run.await;
    Verdict::NotRun(why.to_owned())
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(program), Some(path)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-harness-2 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let program = PathBuf::from(program);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(path.into());
    record.note(format!("case {case}, disruption: {trouble}"));
    if !program.exists() {
        eprintln!("no program at {}", program.display());
        return ExitCode::from(2);
    }
    let run = tokio::spawn({
        let record = record.clone();
        async move { cases::run(&case, program, trouble, &record).await }
    });
    let verdict = finish(run).await;
    let (word, text, code) = match verdict {
        Verdict::Held(text) => ("held", text, 0),
        Verdict::Broken(text) => ("BROKEN", text, 1),
        Verdict::NotRun(text) => ("not run", text, 2),
    };
    record.note(format!("{word}: {text}"));
    record.save();
    println!("{word}: {text}");
    ExitCode::from(code)
}
