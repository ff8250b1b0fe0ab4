//! State charts in files, validated at start and interpreted.
//!
//! A chart names its states, its events and the transitions between them, so
//! that the life of an object is read in one place. A process parses the charts
//! that are built into it with [`parse`] and transitions through them by
//! [`Chart::next`]; small keys stand for states and events, so a step is one
//! look-up. [`parse`] collects all faults of a file with their places.

mod check;
mod file;

use crate::{
    arena_key,
    core::{arena::Arena, finding::Findings, id::Name, map::FastMap},
};
use std::sync::Arc;

arena_key! {
    /// A state of a chart.
    State,
    /// An event of a chart.
    Event,
}

/// A member's part in a group of the replicated log.
pub const MEMBER: &str = include_str!("../../../charts/member.toml");

/// A submission that may not be repeated.
pub const REQUEST: &str = include_str!("../../../charts/request.toml");

/// The roll-out of a model version.
pub const VERSION_CHART: &str = include_str!("../../../charts/version.toml");

/// A validated state chart.
#[derive(Clone, Debug)]
pub struct Chart {
    states: Arena<State, Name>,
    events: Arena<Event, Name>,
    initial: State,
    terminal: Vec<State>,
    transitions: FastMap<(State, Event), State>,
}

impl Chart {
    /// Returns the state in which an object begins.
    #[must_use]
    pub const fn initial(&self) -> State {
        self.initial
    }

    /// Returns the state after an event, or `None` if the event does not apply.
    #[must_use]
    pub fn next(&self, state: State, event: Event) -> Option<State> {
        self.transitions.get(&(state, event)).copied()
    }

    /// Tells whether no event leads out of a state.
    #[must_use]
    pub fn is_final(&self, state: State) -> bool {
        self.terminal.contains(&state)
    }

    /// Finds a state by its name.
    #[must_use]
    pub fn state(&self, name: &str) -> Option<State> {
        find(&self.states, name)
    }

    /// Finds an event by its name.
    #[must_use]
    pub fn event(&self, name: &str) -> Option<Event> {
        find(&self.events, name)
    }

    /// Returns the name of a state.
    #[must_use]
    pub fn name(&self, state: State) -> Name {
        Arc::clone(&self.states[state])
    }

    /// Returns the name of an event.
    #[must_use]
    pub fn event_name(&self, event: Event) -> Name {
        Arc::clone(&self.events[event])
    }

    /// Iterates over the states and their names.
    pub fn states(&self) -> impl Iterator<Item = (State, &Name)> {
        self.states.iter()
    }
}

/// Names that the code uses of a chart.
#[derive(Clone, Copy, Debug, Default)]
pub struct Needs<'n> {
    /// States that the code looks up.
    pub states: &'n [&'n str],
    /// Events that the code fires.
    pub events: &'n [&'n str],
}

/// Reads a chart.
///
/// # Errors
///
/// Returns all faults with their places: names that are unknown, declared
/// twice or never used, states that cannot be reached or left, transitions
/// that contradict each other, names that the code needs and the chart lacks.
pub fn parse(file: &str, text: &str, required: Needs<'_>) -> Result<Chart, Findings> {
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
    // The check has found every name, so no look-up below misses.
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
