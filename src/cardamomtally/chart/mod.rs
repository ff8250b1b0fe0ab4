//! State machines that are declared in TOML files and interpreted at run time.
//!
//! A chart lists the states, the events and the transitions of one kind of
//! object, so that the object's whole lifecycle can be read in one file. The
//! chart files are compiled into the binaries. A process validates a chart that
//! it uses with [`parse`], which reports all faults of the file with their line
//! and column, and then calls [`Chart::next`] for each event. States and events are
//! small integer keys, so that a transition costs one hash-map lookup.

mod check;
mod file;

use crate::{
    arena_key,
    core::{arena::Arena, finding::Findings, id::Name, map::FastMap},
};
use std::sync::Arc;

arena_key! {
    /// Key of a state; only valid for the chart that returned it.
    State,
    /// Key of an event; only valid for the chart that returned it.
    Event,
}

/// Chart of a control member's role in a group of the replicated log.
pub const MEMBER_CHART: &str = include_str!("../../../charts/member.toml");

/// Chart of a submission that is not idempotent.
pub const REQUEST_CHART: &str = include_str!("../../../charts/request.toml");

/// Chart of the roll-out of a model version. No daemon interprets this chart: it
/// documents the states, and a test checks that it is valid.
pub const VERSION_CHART: &str = include_str!("../../../charts/version.toml");

/// A validated state machine.
#[derive(Clone, Debug)]
pub struct Chart {
    states: Arena<State, Name>,
    events: Arena<Event, Name>,
    initial: State,
    terminal: Vec<State>,
    transitions: FastMap<(State, Event), State>,
}

impl Chart {
    /// Returns the state of a new object.
    #[must_use]
    pub const fn initial(&self) -> State {
        self.initial
    }

    /// Returns the state that follows `state` on an event, or `None` if the chart
    /// has no transition for the event in that state.
    #[must_use]
    pub fn next(&self, state: State, event: Event) -> Option<State> {
        self.transitions.get(&(state, event)).copied()
    }

    /// Returns whether a state is final, which means that no event leaves it.
    #[must_use]
    pub fn is_final(&self, state: State) -> bool {
        self.terminal.contains(&state)
    }

    /// Returns the state with a name, or `None` if the chart has no such state.
    #[must_use]
    pub fn state(&self, name: &str) -> Option<State> {
        find(&self.states, name)
    }

    /// Returns the event with a name, or `None` if the chart has no such event.
    #[must_use]
    pub fn event(&self, name: &str) -> Option<Event> {
        find(&self.events, name)
    }

    /// Returns the name that the chart file gives to a state.
    #[must_use]
    pub fn name(&self, state: State) -> Name {
        Arc::clone(&self.states[state])
    }

    /// Returns the name that the chart file gives to an event.
    #[must_use]
    pub fn event_name(&self, event: Event) -> Name {
        Arc::clone(&self.events[event])
    }

    /// Iterates over the states and their names, in the order of the file.
    pub fn states(&self) -> impl Iterator<Item = (State, &Name)> {
        self.states.iter()
    }
}

/// State and event names that the program refers to. [`parse`] reports those
/// that the chart does not declare.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequiredNames<'n> {
    /// Names that the program passes to [`Chart::state`].
    pub states: &'n [&'n str],
    /// Names that the program passes to [`Chart::event`].
    pub events: &'n [&'n str],
}

/// Parses and validates a chart. `file` is the name that findings show.
///
/// # Errors
///
/// Returns all faults with their line and column: names that are unknown or
/// declared twice, events without a transition, states that cannot be reached
/// from the initial state, final states with a transition and others without
/// one, two transitions for the same state and event, and required names that
/// the chart does not declare.
pub fn parse(file: &str, text: &str, required: RequiredNames<'_>) -> Result<Chart, Findings> {
    let raw = file::read(file, text)?;
    check::check(file, text, &raw, required)?;
    Ok(build(&raw))
}

fn build(raw: &file::RawChart) -> Chart {
    let mut states = Arena::default();
    let mut events = Arena::default();
    for state in &raw.states {
        states.push(Name::from(state.as_ref().as_str()));
    }
    for event in &raw.events {
        events.push(Name::from(event.as_ref().as_str()));
    }
    // `check` has verified that every name is declared, so the lookups below
    // never use their default.
    let state = |name: &str| find(&states, name).unwrap_or(State(0));
    let event = |name: &str| find(&events, name).unwrap_or(Event(0));
    let mut transitions = FastMap::default();
    for transition in &raw.transitions {
        for from in &transition.from {
            let key = (state(from.as_ref()), event(transition.event.as_ref()));
            transitions.insert(key, state(transition.to.as_ref()));
        }
    }
    let initial = state(raw.initial.as_ref());
    let terminal = raw.terminal.iter().map(|s| state(s.as_ref())).collect();
    Chart {
        states,
        events,
        initial,
        terminal,
        transitions,
    }
}

fn find<K: crate::core::arena::Key>(names: &Arena<K, Name>, name: &str) -> Option<K> {
    names
        .iter()
        .find(|(_, known)| known.as_ref() == name)
        .map(|(key, _)| key)
}
