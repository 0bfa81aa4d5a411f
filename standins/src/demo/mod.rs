//! The demonstration: a deployment's platform, 7 VMs in three data centres, a short load, and a
//! table of outcomes.

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

/// The VMs of a deployment.
pub const VMS: usize = 7;
/// The longest time until every VM is ready, in milliseconds.
const READY_MS: u64 = 30_000;
/// The longest time in which the gangs must end once the load has, in milliseconds.
const GANGS_MS: u64 = 30_000;

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

/// Runs the demonstration and reports what became of every call.
///
/// Halfway one VM is replaced as planned, so that the report also covers that.
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
    fleet.wait_ready(Duration::from_millis(READY_MS)).await?;
    let load = Load::spawn(&platform, fleet.entries(), &options);
    tokio::time::sleep(Duration::from_millis(options.seconds * 500)).await;
    fleet.replace(0, &platform).await?;
    let outcomes = load.finish(Duration::from_millis(GANGS_MS)).await;
    let report = Report::new(&platform, outcomes);
    fleet.stop().await;
    platform.stop().await;
    Ok(report)
}
