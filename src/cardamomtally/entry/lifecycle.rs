//! State machine of submissions that must not be repeated, read from its chart,
//! with types for its states and events.

use crate::chart::{self, Chart, Event, RequiredNames, State};

/// An event of the submission chart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmissionEvent {
    /// This entry's attempt holds the claim.
    Won,
    /// Another submission holds the claim, or an outcome is already recorded.
    Taken,
    /// The claimed attempt is proved not to have run.
    NotRun,
    /// The claimed attempt may have run.
    Ambiguous,
    /// The answer is ready for the caller.
    Answer,
    /// The submission is refused.
    Refusal,
}

/// What an entry does in a state of the submission chart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the claimed attempt to its agent.
    Dispatch,
    /// Determine the outcome of the claim that is in force.
    Follow,
    /// Replace the claimed attempt with another one.
    Replace,
    /// Ask the agent about the claimed attempt.
    Resolve,
}

/// Events with their names in the chart.
const EVENTS: [(SubmissionEvent, &str); 6] = [
    (SubmissionEvent::Won, "won"),
    (SubmissionEvent::Taken, "taken"),
    (SubmissionEvent::NotRun, "not-run"),
    (SubmissionEvent::Ambiguous, "ambiguous"),
    (SubmissionEvent::Answer, "answer"),
    (SubmissionEvent::Refusal, "refusal"),
];

/// Actions with the names of their states in the chart.
const ACTIONS: [(Action, &str); 4] = [
    (Action::Dispatch, "dispatching"),
    (Action::Follow, "following"),
    (Action::Replace, "replacing"),
    (Action::Resolve, "resolving"),
];

/// The submission chart, and its states and events by type.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    chart: Chart,
    events: Vec<(SubmissionEvent, Event)>,
    actions: Vec<(State, Action)>,
}

impl Default for Lifecycle {
    /// Parses the chart that is compiled into the program.
    ///
    /// # Panics
    ///
    /// Panics if that chart is invalid. Each test that builds an entry parses
    /// the chart, so an invalid chart fails these tests.
    fn default() -> Self {
        let states = ACTIONS.map(|(_, name)| name);
        let events = EVENTS.map(|(_, name)| name);
        let needs = RequiredNames {
            states: &states,
            events: &events,
        };
        let chart = chart::parse("request.toml", chart::REQUEST_CHART, needs)
            .expect("the built-in chart of submissions is valid");
        let events = EVENTS
            .iter()
            .filter_map(|(event, name)| Some((*event, chart.event(name)?)))
            .collect();
        let actions = ACTIONS
            .iter()
            .filter_map(|(action, name)| Some((chart.state(name)?, *action)))
            .collect();
        Self {
            chart,
            events,
            actions,
        }
    }
}

impl Lifecycle {
    /// Returns the initial state.
    #[must_use]
    pub const fn initial(&self) -> State {
        self.chart.initial()
    }

    /// Returns the state that follows an event; `None` if the chart has no such
    /// transition.
    #[must_use]
    pub fn next(&self, state: State, event: SubmissionEvent) -> Option<State> {
        let (_, key) = self.events.iter().find(|(e, _)| *e == event)?;
        self.chart.next(state, *key)
    }

    /// Returns the action of a state. In a state without an action, the entry
    /// asks the agent about the claimed attempt, which is safe because a status
    /// query never starts an attempt.
    #[must_use]
    pub fn action(&self, state: State) -> Action {
        let found = self.actions.iter().find(|(s, _)| *s == state);
        found.map_or(Action::Resolve, |(_, action)| *action)
    }
}
