//! Sends the leader's orders to upstreams, advisor, machines and store; the outcomes return to the
//! leader as events.

use super::Parts;
use super::engine::Input;
use crate::fleet::Effect;
use crate::fleet::Event;
use crate::fleet::clock::boot_ms;
use crate::fleet::gauge;
use crate::fleet::leases::TRANSIT_MS;
use crate::fleet::model::RunId;
use crate::fleet::model::StepId;
use crate::fleet::ports::Advisor;
use crate::fleet::ports::HoldOrder;
use crate::fleet::ports::Machines;
use crate::fleet::ports::StartOrder;
use crate::fleet::ports::Store;
use crate::fleet::ports::Target;
use crate::fleet::ports::Upstreams;
use crate::fleet::token::order_token;
use crate::prelude::*;
use std::future::Future;
use tokio::sync::mpsc;

/// Sends the orders of a leader.
#[derive(Debug)]
pub(super) struct Dispatcher {
    store: Arc<dyn Store>,
    upstreams: Arc<dyn Upstreams>,
    advisor: Option<Arc<dyn Advisor>>,
    machines: Option<Arc<dyn Machines>>,
    tx: mpsc::Sender<Input>,
    /// The epoch, which is the fencing token of orders to machines.
    epoch: u64,
}

impl Dispatcher {
    /// Makes the dispatcher for the leader of `epoch`, which receives the outcomes on `tx`.
    pub(super) fn new(parts: &Parts, tx: mpsc::Sender<Input>, epoch: u64) -> Self {
        Self {
            store: parts.store.clone(),
            upstreams: parts.upstreams.clone(),
            advisor: parts.advisor.clone(),
            machines: parts.machines.clone(),
            tx,
            epoch,
        }
    }

    /// Starts to carry out an order, without waiting for its outcome.
    pub(super) fn dispatch(&self, order: Effect) {
        match order {
            Effect::Start {
                at,
                addr,
                life,
                run,
                text,
                until_ms,
                saved,
                ticket,
            } => {
                let order = StartOrder {
                    run,
                    text,
                    until_ms,
                    saved,
                    ticket,
                };
                self.start(self.target(at, addr, life), order);
            }
            Effect::Stop {
                at,
                addr,
                life,
                run,
            } => self.stop(self.target(at, addr, life), run),
            Effect::Pace {
                at,
                addr,
                life,
                run,
                percent,
            } => self.pace(self.target(at, addr, life), run, percent),
            Effect::Hold {
                at,
                addr,
                life,
                until_ms,
                seen,
                wait_ms,
                mark,
            } => {
                let order = HoldOrder {
                    until_ms,
                    seen,
                    wait_ms,
                };
                self.hold(self.target(at, addr, life), mark, order);
            }
            Effect::Advise {
                step,
                upstreams,
                call_ms,
            } => self.advise(step, upstreams, call_ms),
            Effect::ListMachines => self.list_machines(),
            Effect::TakeDown { machine, wave } => self.take_down(machine, wave),
            Effect::Announce { wave, completed } => self.announce(wave, completed),
            Effect::Reply { .. }
            | Effect::EndsStored { .. }
            | Effect::ClosureStored { .. }
            | Effect::Resign { .. } => {
                log::error!(
                    "TG1315 an effect that concerns only the leader was dispatched as an order"
                )
            }
        }
    }

    fn target(&self, id: Name, addr: Name, life: u64) -> Target {
        Target {
            id,
            addr,
            token: order_token(self.epoch, life),
            expires_at: boot_ms() + TRANSIT_MS,
        }
    }

    /// Runs a call in a task of its own; its outcome is sent to the leader.
    fn spawn(&self, call: impl Future<Output = Event> + Send + 'static) {
        let tx = self.tx.clone();
        tokio::spawn(async move {
            if tx.send(Input::Event(call.await)).await.is_err() {
                log::debug!("the outcome of an order is dropped: the lead was given up");
            }
        });
    }

    fn start(&self, target: Target, order: StartOrder) {
        let upstreams = self.upstreams.clone();
        let at = target.id.clone();
        self.spawn(async move {
            let run = order.run.clone();
            let (answer, clock) = upstreams.start(target, order).await;
            Event::Started {
                at,
                run,
                answer,
                clock,
            }
        });
    }

    fn stop(&self, target: Target, run: RunId) {
        let upstreams = self.upstreams.clone();
        let at = target.id.clone();
        self.spawn(async move {
            let (answer, clock) = upstreams.stop(target, run.clone()).await;
            Event::Stopped {
                at,
                run,
                answer,
                clock,
            }
        });
    }

    fn pace(&self, target: Target, run: RunId, percent: u32) {
        let upstreams = self.upstreams.clone();
        let at = target.id.clone();
        self.spawn(async move {
            let answer = upstreams.pace(target, run.clone(), percent).await;
            Event::Paced { at, run, answer }
        });
    }

    fn hold(&self, target: Target, mark: u64, order: HoldOrder) {
        let upstreams = self.upstreams.clone();
        let at = target.id.clone();
        self.spawn(async move {
            let (answer, clock) = upstreams.hold(target, order).await;
            Event::Held {
                at,
                mark,
                answer,
                clock,
            }
        });
    }

    fn advise(&self, step: StepId, asked: Vec<Name>, call_ms: u64) {
        let Some(advisor) = self.advisor.clone() else {
            return;
        };
        self.spawn(async move {
            let answer = advisor.ask(step.clone(), asked.clone(), call_ms).await;
            Event::Advised {
                step,
                asked,
                answer,
            }
        });
    }

    fn list_machines(&self) {
        let Some(machines) = self.machines.clone() else {
            log::error!(
                "TG1708 maintenance is ordered, but the settings give no address for the machines"
            );
            return;
        };
        self.spawn(async move { Event::Machines(machines.list().await) });
    }

    fn take_down(&self, machine: Name, wave: u64) {
        let Some(machines) = self.machines.clone() else {
            return;
        };
        let (token, expires_at) = (self.epoch, boot_ms() + TRANSIT_MS);
        self.spawn(async move {
            let order = machines.take_down(machine.clone(), wave, token, expires_at);
            let answer = order.await;
            Event::Downed {
                machine,
                wave,
                answer,
            }
        });
    }

    fn announce(&self, wave: u64, completed: bool) {
        let store = self.store.clone();
        self.spawn(async move {
            let result = store.announce(wave, completed).await;
            if let Err(error) = &result {
                gauge::store_failed("announce");
                log::warn!(
                    "TG1707 wave={wave} completed={completed} not announced, retrying: {error}"
                );
            }
            Event::Announced {
                wave,
                completed,
                stored: result.is_ok(),
            }
        });
    }
}
