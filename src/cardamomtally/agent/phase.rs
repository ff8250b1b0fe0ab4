//! The phase of the backend server, stepped through its state chart.

use crate::chart::{self, Chart, Needs, State};

/// The chart of a backend server.
pub const BACKEND: &str = include_str!("../../../charts/backend.toml");

/// States that the code knows.
const STATES: [&str; 5] = ["cold", "failed", "leaving", "warm", "warming"];

/// Events that the code fires.
const EVENTS: [&str; 7] = [
    "answered",
    "leave",
    "refused",
    "served",
    "stay",
    "turned-cold",
    "warmed",
];

/// Where a backend server is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It has just started, or shows signs of it.
    Cold,
    /// It refuses connections.
    Failed,
    /// It takes no new work.
    Leaving,
    /// It bears its full limit.
    Warm,
    /// It serves and its limit grows.
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

/// What was seen of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// It answers readings.
    Answered,
    /// The platform takes it away, or the agent stops.
    Leave,
    /// It refused a connection.
    Refused,
    /// A good completion.
    Served,
    /// It stays after all.
    Stay,
    /// It may have lost its warmth.
    TurnedCold,
    /// Its limit has stopped growing quickly.
    Warmed,
}

impl Sign {
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

/// A backend server's place in its chart.
#[derive(Clone, Debug)]
pub struct Life {
    chart: Chart,
    state: State,
}

impl Default for Life {
    fn default() -> Self {
        Self::new()
    }
}

impl Life {
    /// Builds a life at its beginning.
    ///
    /// # Panics
    ///
    /// Panics if the chart that is built in does not fit the code.
    #[must_use]
    pub fn new() -> Self {
        let needs = Needs {
            states: &STATES,
            events: &EVENTS,
        };
        let chart = chart::parse("charts/backend.toml", BACKEND, needs)
            .expect("the chart that is built in fits the code");
        Self {
            state: chart.initial(),
            chart,
        }
    }

    /// Takes note of a sign. One that does not apply changes nothing.
    pub fn note(&mut self, sign: Sign) {
        let event = self.chart.event(sign.name());
        let next = event.and_then(|event| self.chart.next(self.state, event));
        self.state = next.unwrap_or(self.state);
    }

    /// Tells whether it is in a phase.
    #[must_use]
    pub fn is(&self, phase: Phase) -> bool {
        self.chart.state(phase.name()) == Some(self.state)
    }

    /// Returns the state's name.
    #[must_use]
    pub fn name(&self) -> crate::core::id::Name {
        self.chart.name(self.state)
    }
}
