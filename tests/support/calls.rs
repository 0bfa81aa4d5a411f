//! Callers' requests, their outcomes, and checks of the outcomes against what upstreams executed.

use serde_json::Value;
use std::collections::BTreeSet;
use trefoilgauge_standins::client::Answer;
use trefoilgauge_standins::client::Client;
use trefoilgauge_standins::runner::WorkAnswer;
use trefoilgauge_standins::runner::digest;
use trefoilgauge_standins::tally::Tally;

/// One request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Call {
    pub(crate) workspace: String,
    pub(crate) kind: String,
    pub(crate) key: Option<String>,
    pub(crate) body: String,
    pub(crate) deadline_ms: Option<u64>,
}

impl Call {
    /// Creates a call without a key; `body` must be unique among calls that do not share a key.
    pub(crate) fn new(kind: &str, body: &str) -> Self {
        Self {
            workspace: "scoring".into(),
            kind: kind.into(),
            key: None,
            body: body.into(),
            deadline_ms: None,
        }
    }

    /// Gives the call an idempotency key.
    pub(crate) fn keyed(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Gives the call a deadline.
    pub(crate) fn within(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = Some(deadline_ms);
        self
    }
}

/// A refusal, with what it says about whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) status: u16,
    pub(crate) code: String,
    pub(crate) ran: String,
    pub(crate) retry: bool,
}

/// The outcome of a call, as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The complete reply to its own request.
    Answered,
    /// The complete reply of the first run with the same key.
    Replayed,
    /// A refusal.
    Refused(Refused),
    /// An upstream's own error, which does not say whether the request ran.
    UpstreamError(u16),
    /// A reply to another request, or an incomplete one.
    Wrong(String),
    /// The connection ended without an answer.
    NoAnswer(String),
}

/// A call and its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallResult {
    pub(crate) call: Call,
    pub(crate) outcome: Outcome,
}

impl CallResult {
    /// Returns whether the caller got a complete reply.
    pub(crate) fn answered(&self) -> bool {
        matches!(self.outcome, Outcome::Answered | Outcome::Replayed)
    }

    /// Returns the refusal, if it is one.
    pub(crate) fn refused(&self) -> Option<&Refused> {
        match &self.outcome {
            Outcome::Refused(refused) => Some(refused),
            _ => None,
        }
    }
}

/// Sends a call to a VM's callers' address, and returns its outcome.
pub(crate) async fn request(client: &Client, addr: &str, call: Call) -> CallResult {
    let url = format!(
        "http://{addr}/v1/workspaces/{}/requests/{}",
        call.workspace, call.kind
    );
    let deadline = call.deadline_ms.map(|ms| ms.to_string());
    let key = call.key.as_deref();
    let headers: Vec<(&str, &str)> = [
        key.map(|key| ("idempotency-key", key)),
        deadline.as_deref().map(|ms| ("deadline-ms", ms)),
    ]
    .into_iter()
    .flatten()
    .collect();
    let outcome = match client.post(&url, &headers, call.body.clone()).await {
        Ok(answer) => read(&call, &answer),
        Err(error) => Outcome::NoAnswer(error.to_string()),
    };
    CallResult { call, outcome }
}

fn read(call: &Call, answer: &Answer) -> Outcome {
    if answer.header("content-type") == Some("application/problem+json") {
        return read_refusal(answer);
    }
    let upstream = answer.header("trefoil-runner").is_some();
    if upstream && [429, 500, 503].contains(&answer.status) {
        return Outcome::UpstreamError(answer.status);
    }
    let work = match answer.json::<WorkAnswer>() {
        Ok(work) => work,
        Err(error) => return Outcome::Wrong(format!("{} {error}", answer.status)),
    };
    let replayed = answer.header("idempotency-replayed").is_some();
    let same_request = answer.header("trefoil-request") == Some(&work.request);
    let own = work.digest == digest(call.body.as_bytes()) && *work.kind == *call.kind;
    match (answer.status, own, replayed) {
        (200, true, true) => Outcome::Replayed,
        (200, true, false) if same_request => Outcome::Answered,
        _ => Outcome::Wrong(format!("{} {work:?}", answer.status)),
    }
}

fn read_refusal(answer: &Answer) -> Outcome {
    let body: Value = answer.json().unwrap_or_default();
    let text = |key: &str| body[key].as_str().unwrap_or_default().to_owned();
    Outcome::Refused(Refused {
        status: answer.status,
        code: text("code"),
        ran: text("ran"),
        retry: answer.header("retry-after").is_some(),
    })
}

/// Returns the calls whose outcome contradicts what the upstreams executed, and the refusals with
/// status 429 or 503 that have no `retry-after`.
///
/// Calls must have different bodies unless they share a key.
pub(crate) fn false_outcomes(results: &[CallResult], tally: &Tally) -> Vec<String> {
    let mut found = Vec::new();
    for one in results {
        let runs = tally.of_digest(&digest(one.call.body.as_bytes()));
        let is_false = match &one.outcome {
            Outcome::Answered | Outcome::Replayed => runs == 0,
            Outcome::Refused(refused) => match refused.ran.as_str() {
                "no" => runs > 0,
                "yes" => runs == 0,
                "unknown" => false,
                _ => true,
            },
            Outcome::Wrong(_) => true,
            Outcome::UpstreamError(_) | Outcome::NoAnswer(_) => false,
        };
        let no_retry = one
            .refused()
            .is_some_and(|refused| [429, 503].contains(&refused.status) && !refused.retry);
        if is_false || no_retry {
            found.push(format!(
                "{:?} ran {runs} times: {:?}",
                one.call, one.outcome
            ));
        }
    }
    found
}

/// Returns the idempotency keys in `results` whose request ran more than once.
pub(crate) fn doubled(results: &[CallResult], tally: &Tally) -> Vec<String> {
    let keys: BTreeSet<&String> = results
        .iter()
        .filter_map(|one| one.call.key.as_ref())
        .collect();
    let twice = keys.into_iter().filter(|key| tally.of_key(key) > 1);
    twice.cloned().collect()
}
