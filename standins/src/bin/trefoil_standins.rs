//! Runs the platform stand-ins of a deployment, and prints their addresses.

use argh::FromArgs;
use std::io;
use std::time::Duration;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use trefoilgauge_standins::platform::Deployment;
use trefoilgauge_standins::platform::PlatformHandle;
use trefoilgauge_standins::platform::PlatformOptions;

/// Run the platform stand-ins of a deployment until SIGTERM.
#[derive(Debug, FromArgs)]
struct Args {
    /// the deployment: instituto, atlas or small
    #[argh(option, default = "String::from(\"instituto\")")]
    deployment: String,
    /// the seed of service times and faults
    #[argh(option, default = "1")]
    seed: u64,
    /// stop after this time, in seconds
    #[argh(option)]
    seconds: Option<u64>,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let args: Args = argh::from_env();
    let Some(deployment) = Deployment::named(&args.deployment) else {
        return Err(io::Error::other(
            "the deployment must be instituto, atlas or small",
        ));
    };
    let mut options = PlatformOptions::new(deployment);
    options.seed = args.seed;
    let platform = PlatformHandle::spawn(options).await?;
    platform.publish();
    println!("{}", serde_json::to_string(&platform.addresses())?);
    let mut term = signal(SignalKind::terminate())?;
    match args.seconds {
        Some(seconds) => {
            let limit = Duration::from_secs(seconds);
            let _passed = tokio::time::timeout(limit, term.recv()).await;
        }
        None => drop(term.recv().await),
    }
    platform.stop().await;
    Ok(())
}
