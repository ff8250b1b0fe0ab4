//! The phase of the backend server, as the agent sees it.

/// Where a backend server is in its life.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Phase {
    /// It has just started, or shows signs of it.
    #[default]
    Cold,
    /// It serves and its limit grows.
    Warming,
    /// It bears its full limit.
    Warm,
    /// It refuses connections.
    Failed,
}

impl Phase {
    /// Returns the phase after a sign of a cold turn.
    #[must_use]
    pub const fn turns_cold(self) -> Self {
        match self {
            Self::Failed => Self::Failed,
            Self::Cold | Self::Warming | Self::Warm => Self::Cold,
        }
    }

    /// Returns the phase after a good completion below the full limit.
    #[must_use]
    pub const fn serves(self) -> Self {
        match self {
            Self::Cold => Self::Warming,
            other => other,
        }
    }

    /// Returns the phase once the limit has stopped growing quickly.
    #[must_use]
    pub const fn warms_up(self) -> Self {
        match self {
            Self::Cold | Self::Warming => Self::Warm,
            other => other,
        }
    }

    /// Returns the phase after a refused connection.
    #[must_use]
    pub const fn fails(self) -> Self {
        Self::Failed
    }

    /// Returns the phase after the backend server has answered a reading.
    #[must_use]
    pub const fn answers(self) -> Self {
        match self {
            Self::Failed => Self::Cold,
            other => other,
        }
    }
}
