//! The backend server's phase, which follows the state chart in
//! `charts/backend.toml`.

use crate::chart::{self, Chart, RequiredNames, State};

/// Source of the backend server's state chart.
pub const BACKEND: &str = include_str!("../../../charts/backend.toml");

/// States that the code refers to. The chart must define them.
const STATES: [&str; 5] = ["cold", "failed", "leaving", "warm", "warming"];

/// Events that the code raises. The chart must define them.
const EVENTS: [&str; 7] = [
    "answered",
    "leave",
    "refused",
    "served",
    "stay",
    "turned-cold",
    "warmed",
];

/// Phase of a backend server; each one is a state of the chart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The backend server has just started, or shows signs of a restart or lost
    /// caches.
    Cold,
    /// The backend server refuses connections.
    Failed,
    /// The backend server takes no new work.
    Leaving,
    /// The backend server completes attempts, and its limit has reached the
    /// threshold where fast growth ends.
    Warm,
    /// The backend server completes attempts, and its limit is still below the
    /// threshold where fast growth ends.
    Warming,
}

impl Phase {
    const fn name(self) -> &'static str {
        match self {
            Self::Cold => "cold",
            Self::Failed => "failed",
            Self::Leaving => "leaving",
            Self::Warm => "warm",
            Self::Warming => "warming",
        }
    }
}

/// What was observed about a backend server; each one is an event of the chart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The backend server answered a request for a load report.
    Answered,
    /// The platform is removing the backend server, or the agent is stopping.
    Leave,
    /// The backend server refused a connection.
    Refused,
    /// An attempt completed successfully.
    Served,
    /// The platform no longer plans to remove the backend server.
    Stay,
    /// The backend server may have restarted or lost its caches.
    TurnedCold,
    /// The limit has reached the threshold where fast growth ends.
    Warmed,
}

impl Event {
    const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Leave => "leave",
            Self::Refused => "refused",
            Self::Served => "served",
            Self::Stay => "stay",
            Self::TurnedCold => "turned-cold",
            Self::Warmed => "warmed",
        }
    }
}

/// The current state of a backend server in its chart.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    chart: Chart,
    state: State,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self::new()
    }
}

impl Lifecycle {
    /// Builds a lifecycle in the chart's initial state.
    ///
    /// # Panics
    ///
    /// Panics if the built-in chart does not define the states and events above.
    #[must_use]
    pub fn new() -> Self {
        let needs = RequiredNames {
            states: &STATES,
            events: &EVENTS,
        };
        let chart = chart::parse("charts/backend.toml", BACKEND, needs)
            .expect("the built-in chart defines the states and events that the code uses");
        Self {
            state: chart.initial(),
            chart,
        }
    }

    /// Moves to the state that the event leads to. An event without a transition
    /// from the current state is ignored.
    pub fn apply(&mut self, event: Event) {
        let event = self.chart.event(event.name());
        let next = event.and_then(|event| self.chart.next(self.state, event));
        self.state = next.unwrap_or(self.state);
    }

    /// Returns whether the backend server is in the given phase.
    #[must_use]
    pub fn is(&self, phase: Phase) -> bool {
        self.chart.state(phase.name()) == Some(self.state)
    }

    /// Returns the name of the current state.
    #[must_use]
    pub fn name(&self) -> crate::core::id::Name {
        self.chart.name(self.state)
    }
}
