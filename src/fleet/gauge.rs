//! The metrics of a VM: counters, gauges and latency histograms with few label values.

use super::event::Ended;
use super::event::Reply;
use super::event::Started;
use super::model::How;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The interval at which the recorder drains the histograms' buffers, in seconds.
const UPKEEP_INTERVAL_S: u64 = 5;

/// The running metrics endpoint; it stops when this is dropped.
#[derive(Debug)]
pub struct Metrics {
    tasks: [JoinHandle<()>; 2],
}

impl Drop for Metrics {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Installs the metrics recorder, and serves the metrics as text at `/metrics` of `addr`.
///
/// # Errors
///
/// The address cannot be bound, or a recorder is already installed.
pub async fn bind(addr: SocketAddr) -> std::io::Result<Metrics> {
    let builder = PrometheusBuilder::new();
    let handle = builder.install_recorder().map_err(std::io::Error::other)?;
    let listener = TcpListener::bind(addr).await?;
    let upkeep = handle.clone();
    let router = Router::new()
        .route("/metrics", get(render))
        .with_state(handle);
    let serving = tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            log::error!("TG1108 metrics listener failed, metrics are no longer served: {error}");
        }
    });
    let draining = tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_secs(UPKEEP_INTERVAL_S)).await;
            upkeep.run_upkeep();
        }
    });
    Ok(Metrics {
        tasks: [serving, draining],
    })
}

async fn render(State(handle): State<PrometheusHandle>) -> String {
    handle.render()
}

/// Counts a reply to a caller and records its latency.
pub(super) fn replied(reply: &Reply, ms: u64) {
    let outcome = match reply {
        Reply::Accepted => "accepted",
        Reply::Refused { .. } => "refused",
        Reply::State(_) => "state",
        Reply::Waiting(_) => "waiting",
        Reply::Cancelled => "cancelled",
        Reply::Gone => "gone",
        Reply::NoQueue => "no_queue",
        Reply::BadKey => "bad_key",
        Reply::Bad(_) => "bad",
        Reply::Unknown => "unknown",
        Reply::Unavailable { .. } => "unavailable",
    };
    counter!("fleet_calls_total", "outcome" => outcome).increment(1);
    histogram!("fleet_call_seconds", "outcome" => outcome).record(seconds(ms));
}

/// Counts the response to an order to start.
pub(super) fn started(answer: Started) {
    let answer = match answer {
        Started::Yes => "yes",
        Started::Fenced => "fenced",
        Started::Barred => "barred",
        Started::Late => "late",
        Started::Full => "full",
        Started::Unadvised => "unadvised",
        Started::Unwell => "unwell",
        Started::OtherLife => "other_life",
        Started::Rejected => "rejected",
        Started::Unsent => "unsent",
        Started::Silent => "silent",
    };
    counter!("fleet_starts_total", "answer" => answer).increment(1);
}

/// Counts the end of a run.
pub(super) fn ended(end: &Ended) {
    let how = match end.how {
        How::Done => "done",
        How::Failed => "failed",
        How::Stopped => "stopped",
        How::Lapsed => "lapsed",
        How::Broken => "broken",
        How::Alone => "alone",
    };
    counter!("fleet_ends_total", "how" => how).increment(1);
}

/// Counts a completion by whether its work was within the longest likely duration.
pub(super) fn predicted(within: bool) {
    let result = if within { "within" } else { "over" };
    counter!("fleet_predictions_total", "result" => result).increment(1);
}

/// Counts a change of the work of a kind of task.
pub(super) fn duration_changed() {
    counter!("fleet_duration_changes_total").increment(1);
}

/// Counts the end of a run that is not live.
pub(super) fn unmatched_end() {
    counter!("fleet_unmatched_ends_total").increment(1);
}

/// Counts a run that was settled although its upstream reported no end.
pub(super) fn settled() {
    counter!("fleet_settled_total").increment(1);
}

/// Counts an upstream that crashed under a task.
pub(super) fn crashed() {
    counter!("fleet_crashes_total").increment(1);
}

/// Counts a job that was closed as failed because upstreams crashed under one of its tasks.
pub(super) fn gave_up() {
    counter!("fleet_given_up_total").increment(1);
}

/// Counts tasks that were placed together, and records how long they waited.
pub(super) fn placed(tasks: usize, ms: u64) {
    let tasks = u64::try_from(tasks).unwrap_or(u64::MAX);
    counter!("fleet_placed_total").increment(tasks);
    histogram!("fleet_place_wait_seconds").record(seconds(ms));
}

/// Counts work that was preempted by urgent work.
pub(super) fn preempted(victims: usize) {
    let victims = u64::try_from(victims).unwrap_or(u64::MAX);
    counter!("fleet_preempted_total").increment(victims);
}

/// Counts a reservation that was made ahead for a gang.
pub(super) fn made_ahead() {
    counter!("fleet_reservations_made_total").increment(1);
}

/// Counts a reservation that was planned again or given up.
pub(super) fn replanned_ahead() {
    counter!("fleet_reservations_changed_total").increment(1);
}

/// Records how many reservations are open.
pub(super) fn reserved_ahead(open: usize) {
    gauge!("fleet_reservations").set(count(open));
}

/// Records the part of the free accelerators that a waiting gang could use at once, 0 to 1.
pub(super) fn usable_free(part: f64) {
    gauge!("fleet_usable_free_part").set(part);
}

/// Counts the rows of an append to the store and records its latency.
pub(super) fn appended(rows: usize, ms: u64) {
    let rows = u64::try_from(rows).unwrap_or(u64::MAX);
    counter!("fleet_rows_total").increment(rows);
    histogram!("fleet_append_seconds").record(seconds(ms));
}

/// Counts learned rows that are handed over to the store, and their size.
pub(super) fn learned(rows: usize, bytes: usize) {
    let [rows, bytes] = [rows, bytes].map(|number| u64::try_from(number).unwrap_or(u64::MAX));
    counter!("fleet_learned_rows_total").increment(rows);
    counter!("fleet_learned_bytes_total").increment(bytes);
}

/// Counts a failed call of the store.
pub(super) fn store_failed(call: &'static str) {
    counter!("fleet_store_failures_total", "call" => call).increment(1);
}

/// Records whether this VM leads.
pub(super) fn leads(leads: bool) {
    gauge!("fleet_leads").set(if leads { 1.0 } else { 0.0 });
    if !leads {
        shares([0; 3], 0);
    }
}

/// Records the configuration's age and the leader's numbers of open jobs, of upstreams and of
/// silent upstreams.
pub(super) fn state(config_age_ms: u64, open: usize, upstreams: usize, silent: usize) {
    gauge!("fleet_config_age_seconds").set(seconds(config_age_ms));
    gauge!("fleet_open_jobs").set(count(open));
    gauge!("fleet_upstreams", "state" => "all").set(count(upstreams));
    gauge!("fleet_upstreams", "state" => "silent").set(count(silent));
}

/// Records the highest, the median and the lowest use that workspaces are charged for, in millionths,
/// and the number of levels that now order them, 0 if none do.
pub(super) fn shares(ranked: [u64; 3], levels: u32) {
    for (rank, share) in ["highest", "median", "lowest"].into_iter().zip(ranked) {
        let share = usize::try_from(share).unwrap_or(usize::MAX);
        gauge!("fleet_workspace_share", "rank" => rank).set(count(share) / 1e6);
    }
    share_levels(levels);
}

/// Records the number of levels that now order the workspaces, 0 if none do.
pub(super) fn share_levels(levels: u32) {
    gauge!("fleet_share_levels").set(f64::from(levels));
}

/// Records by how many milliseconds the leader's task woke up late.
pub(super) fn late(ms: u64) {
    histogram!("fleet_leader_late_seconds").record(seconds(ms));
}

/// Adds the time that the leader spent on handling events, on decisions and on sending orders.
pub(super) fn busy(parts: [Duration; 3]) {
    for (part, time) in ["events", "decisions", "orders"].into_iter().zip(parts) {
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        counter!("fleet_leader_busy_milliseconds_total", "part" => part).increment(ms);
    }
}

fn count(number: usize) -> f64 {
    u32::try_from(number).map_or(f64::from(u32::MAX), f64::from)
}

fn seconds(ms: u64) -> f64 {
    Duration::from_millis(ms).as_secs_f64()
}
