//! The demonstration: runs 7 VMs in three data centres against a deployment's platform under a
//! short load, and reports the outcomes in a table.

pub mod fleet;
pub mod load;
pub mod report;

use crate::platform::Deployment;
use crate::platform::PlatformHandle;
use crate::platform::PlatformOptions;
use fleet::Fleet;
use load::Load;
use report::Report;
use std::io;
use std::time::Duration;

/// The number of VMs of a deployment.
pub const VMS: usize = 7;
/// The timeout until all VMs are ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 30_000;
/// The time that gangs have to end after the load has ended, in milliseconds.
const GANGS_TIMEOUT_MS: u64 = 30_000;

/// Options of the demonstration.
#[derive(Debug, Clone)]
pub struct Options {
    /// The deployment.
    pub deployment: Deployment,
    /// How long requests are sent, in seconds.
    pub seconds: u64,
    /// The seed of the load.
    pub seed: u64,
}

/// Runs the demonstration and reports the outcome of every call.
///
/// Halfway through the load one VM is replaced, so that the report also covers a planned
/// replacement.
///
/// # Errors
///
/// An address cannot be bound, or the VMs do not become ready in time.
pub async fn run(options: Options) -> io::Result<Report> {
    let platform = PlatformOptions {
        seed: options.seed,
        ..PlatformOptions::new(options.deployment.clone())
    };
    let platform = PlatformHandle::spawn(platform).await?;
    platform.publish();
    let mut fleet = Fleet::spawn(&platform, VMS).await?;
    fleet
        .wait_ready(Duration::from_millis(READY_TIMEOUT_MS))
        .await?;
    let load = Load::spawn(&platform, fleet.entries(), &options);
    tokio::time::sleep(Duration::from_millis(options.seconds * 500)).await;
    fleet.replace(0, &platform).await?;
    let outcomes = load.finish(Duration::from_millis(GANGS_TIMEOUT_MS)).await;
    let report = Report::new(&platform, outcomes);
    fleet.stop().await;
    platform.stop().await;
    Ok(report)
}
