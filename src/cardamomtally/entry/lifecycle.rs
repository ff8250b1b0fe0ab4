//! The chart of submissions that may not be repeated, with typed names.

use crate::chart::{self, Chart, Event, Needs, State};

/// What was found out about a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmissionEvent {
    /// Our attempt holds the claim.
    Won,
    /// Somebody else's claim, or a settled outcome, stands.
    Taken,
    /// The claim's attempt is proved not to have run.
    NotRun,
    /// The claim's attempt may have run.
    Ambiguous,
    /// The caller has its answer.
    Answer,
    /// The caller is refused.
    Refusal,
}

/// What a state asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the attempt.
    Dispatch,
    /// Find out the outcome of the claim that stands.
    Follow,
    /// Put another attempt in the place of the claim's.
    Replace,
    /// Ask the agent.
    Resolve,
}

/// Signs with the names of their events.
const EVENTS: [(SubmissionEvent, &str); 6] = [
    (SubmissionEvent::Won, "won"),
    (SubmissionEvent::Taken, "taken"),
    (SubmissionEvent::NotRun, "not-run"),
    (SubmissionEvent::Ambiguous, "ambiguous"),
    (SubmissionEvent::Answer, "answer"),
    (SubmissionEvent::Refusal, "refusal"),
];

/// Actions with the names of their states.
const ACTIONS: [(Action, &str); 4] = [
    (Action::Dispatch, "dispatching"),
    (Action::Follow, "following"),
    (Action::Replace, "replacing"),
    (Action::Resolve, "resolving"),
];

/// The chart with the keys of its names.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    chart: Chart,
    events: Vec<(SubmissionEvent, Event)>,
    actions: Vec<(State, Action)>,
}

impl Default for Lifecycle {
    /// Reads the chart that is built in.
    ///
    /// # Panics
    ///
    /// Panics if that chart is faulty, which a test rules out.
    fn default() -> Self {
        let states = ACTIONS.map(|(_, name)| name);
        let events = EVENTS.map(|(_, name)| name);
        let needs = Needs {
            states: &states,
            events: &events,
        };
        let chart = chart::parse("request.toml", chart::REQUEST, needs)
            .expect("the built-in chart has no fault");
        let events = EVENTS
            .iter()
            .filter_map(|(sign, name)| Some((*sign, chart.event(name)?)))
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
    /// Returns the first state.
    #[must_use]
    pub const fn initial(&self) -> State {
        self.chart.initial()
    }

    /// Returns the state after a sign, if the chart has such a step.
    #[must_use]
    pub fn next(&self, state: State, sign: SubmissionEvent) -> Option<State> {
        let (_, event) = self.events.iter().find(|(s, _)| *s == sign)?;
        self.chart.next(state, *event)
    }

    /// Returns what a state asks for; asking the agent is always safe.
    #[must_use]
    pub fn action(&self, state: State) -> Action {
        let found = self.actions.iter().find(|(s, _)| *s == state);
        found.map_or(Action::Resolve, |(_, action)| *action)
    }
}
