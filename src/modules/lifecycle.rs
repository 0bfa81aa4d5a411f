//! The lifecycle of a process as a state machine: starting, catching up, ready, draining, stopped.

#![expect(
    missing_docs,
    reason = "the state machine macro generates undocumented enums"
)]

use statig::prelude::*;

/// An input of the lifecycle's state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// The newest checkpoint was loaded.
    Loaded,
    /// The log was read to its end, and the process may make decisions.
    CaughtUp,
    /// The process may not make decisions: it is behind the log, or the configuration needs a newer
    /// version.
    Outdated,
    /// A planned stop began.
    Drain,
    /// No call is in progress any more, or the time limit of the drain has passed.
    Drained,
}

/// The shared storage of the state machine; empty, as the states hold no data.
#[derive(Debug, Default)]
pub struct Lifecycle;

#[state_machine(
    initial = "State::starting()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl Lifecycle {
    #[state]
    fn starting(event: &Trigger) -> Outcome<State> {
        match event {
            Trigger::Loaded => Transition(State::catching_up()),
            Trigger::Drain => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn catching_up(event: &Trigger) -> Outcome<State> {
        match event {
            Trigger::CaughtUp => Transition(State::ready()),
            Trigger::Drain => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state]
    fn ready(event: &Trigger) -> Outcome<State> {
        match event {
            Trigger::Outdated => Transition(State::catching_up()),
            Trigger::Drain => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state]
    fn draining(event: &Trigger) -> Outcome<State> {
        match event {
            Trigger::Drained => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn stopped(event: &Trigger) -> Outcome<State> {
        log::debug!("lifecycle event {event:?} ignored: the process has stopped");
        Handled
    }
}
