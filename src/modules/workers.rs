//! Executes sync calls to the workers.

use super::engine::EffectHandler;
use super::engine::Engine;
use super::http::Client;
use crate::platform::SyncAnswer;
use crate::reducer::Effect;
use crate::reducer::Event;
use crate::reducer::State;

/// Sends syncs to the workers and their responses to the reducer.
#[derive(Debug)]
pub struct Workers {
    client: Client,
    engine: Engine,
}

impl Workers {
    /// Creates a client for workers whose calls are limited to `call_ms` milliseconds.
    pub fn new(call_ms: u64, engine: Engine) -> Self {
        Self {
            client: Client::new(call_ms),
            engine,
        }
    }
}

impl EffectHandler for Workers {
    fn handle(&mut self, effect: Effect, _state: &State) {
        let Effect::Sync { worker, addr, call } = effect else {
            return;
        };
        let client = self.client.clone();
        let engine = self.engine.clone();
        tokio::spawn(async move {
            let answer = client.post::<_, SyncAnswer>(&addr, "/v1/sync", &call).await;
            if let Err(error) = &answer {
                log::debug!("sync of worker {worker} failed: {error}");
            }
            let answer = answer.ok();
            engine.send(Event::SyncEnded { worker, answer }).await;
        });
    }
}
