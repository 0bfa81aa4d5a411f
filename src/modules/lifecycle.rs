//! The lifecycle of a process as a state machine: starting, catching up, ready, draining, stopped.

#![expect(
    missing_docs,
    reason = "the state machine's macro makes enums without documentation"
)]

use statig::prelude::*;

/// What moves the lifecycle on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// The newest checkpoint was loaded.
    Loaded,
    /// The log was read up to its end, and nothing forbids to decide.
    CaughtUp,
    /// A configuration newer than this version is in force.
    Outdated,
    /// A planned stop began.
    Drain,
    /// Nothing is in progress any more, or the time for it has passed.
    Drained,
}

/// The lifecycle's storage; the state itself holds all.
#[derive(Debug, Default)]
pub struct Lifecycle;

#[state_machine(
    initial = "State::starting()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl Lifecycle {
    #[state]
    fn starting(event: &Turn) -> Outcome<State> {
        match event {
            Turn::Loaded => Transition(State::catching_up()),
            Turn::Drain => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn catching_up(event: &Turn) -> Outcome<State> {
        match event {
            Turn::CaughtUp => Transition(State::ready()),
            Turn::Drain => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state]
    fn ready(event: &Turn) -> Outcome<State> {
        match event {
            Turn::Outdated => Transition(State::catching_up()),
            Turn::Drain => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state]
    fn draining(event: &Turn) -> Outcome<State> {
        match event {
            Turn::Drained => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn stopped(event: &Turn) -> Outcome<State> {
        log::debug!("{event:?} after the stop");
        Handled
    }
}
