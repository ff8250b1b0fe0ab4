//! Durations and sizes that are written as a number with a unit.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use std::{fmt, time::Duration};

/// Units of a size and their number of bytes, largest first. The order matters:
/// parsing takes the first unit with which the text ends, and every unit ends with
/// `B`; formatting takes the largest unit that divides the number.
const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// A number of bytes; written with a unit, for example `64KiB`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Size(pub u64);

impl Size {
    /// Parses a whole number followed by `B`, `KiB`, `MiB` or `GiB`. Returns `None`
    /// for other texts and if the number of bytes exceeds 64 bits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (unit, bytes) = SIZE_UNITS.iter().find(|(unit, _)| text.ends_with(unit))?;
        let number: u64 = text.strip_suffix(unit)?.trim().parse().ok()?;
        number.checked_mul(*bytes).map(Self)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unit = SIZE_UNITS
            .iter()
            .find(|(_, bytes)| self.0 >= *bytes && self.0.is_multiple_of(*bytes));
        let (name, bytes) = unit.unwrap_or(&("B", 1));
        write!(f, "{}{name}", self.0 / bytes)
    }
}

impl Serialize for Size {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| {
            D::Error::custom(format!("`{text}` is no size; write such as \"64KiB\""))
        })
    }
}

/// A duration; written with a unit, for example `250ms`, `2s` or `1h`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Span(pub Duration);

impl Span {
    /// Creates a duration of `ms` milliseconds.
    #[must_use]
    pub const fn ms(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// Creates a duration of `secs` seconds.
    #[must_use]
    pub const fn secs(secs: u64) -> Self {
        Self(Duration::from_secs(secs))
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(self.0))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        humantime::parse_duration(&text).map(Self).map_err(|_e| {
            D::Error::custom(format!("`{text}` is no duration; write such as \"250ms\""))
        })
    }
}
