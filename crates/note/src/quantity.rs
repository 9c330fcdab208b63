//! Quantities with units, written as text in settings and release notes.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A duration such as `250ms`, `2s` or `5m`, from zero to one day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Timespan(Duration);

/// A rate per second such as `120/s`, above zero and up to ten million.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(f64);

/// A size in bytes such as `64KiB` or `4MiB`, from 1 byte to 1 GiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Size(u64);

/// Longest duration that parses.
const MAX_TIMESPAN: Duration = Duration::from_hours(24);
/// Highest rate that parses.
const MAX_RATE_PER_S: f64 = 1e7;
/// Largest size that parses.
const MAX_SIZE_BYTES: u64 = 1 << 30;

impl Timespan {
    /// Creates a timespan from milliseconds. The upper bound is not checked.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Wraps a duration. The upper bound is not checked.
    pub const fn new(duration: Duration) -> Self {
        Self(duration)
    }

    /// Returns the duration.
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl Rate {
    /// Wraps a rate per second. The bounds are not checked.
    pub const fn new(per_second: f64) -> Self {
        Self(per_second)
    }

    /// Returns the rate per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Size {
    /// Creates a size from bytes. The bounds are not checked.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    pub const fn get(self) -> usize {
        self.0 as usize
    }
}

/// Splits a quantity such as `250ms` into its number and its unit.
///
/// Returns `None` if the text has no unit or the number does not parse.
fn split(text: &str) -> Option<(f64, &str)> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(unit_start);
    Some((number.parse().ok()?, unit))
}

impl TryFrom<String> for Timespan {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let invalid = || format!("`{text}` is not a duration such as 250ms, 2s or 5m, at most 24h");
        let (number, unit) = split(&text).ok_or_else(invalid)?;
        let seconds = match unit {
            "ms" => number / 1_000.0,
            "s" => number,
            "m" => number * 60.0,
            "h" => number * 3_600.0,
            _ => return Err(invalid()),
        };
        let timespan = Duration::try_from_secs_f64(seconds).map_err(|_| invalid())?;
        if timespan > MAX_TIMESPAN {
            return Err(invalid());
        }
        Ok(Self(timespan))
    }
}

impl From<Timespan> for String {
    fn from(timespan: Timespan) -> Self {
        format!("{}ms", timespan.0.as_millis())
    }
}

impl TryFrom<String> for Rate {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let invalid =
            || format!("`{text}` is not a rate such as 120/s, above 0/s and at most 10000000/s");
        let (rate, unit) = split(&text).ok_or_else(invalid)?;
        if unit != "/s" || !rate.is_finite() || rate <= 0.0 || rate > MAX_RATE_PER_S {
            return Err(invalid());
        }
        Ok(Self(rate))
    }
}

impl From<Rate> for String {
    fn from(rate: Rate) -> Self {
        format!("{}/s", rate.0)
    }
}

impl TryFrom<String> for Size {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let invalid =
            || format!("`{text}` is not a size such as 512B, 64KiB or 4MiB, at most 1024MiB");
        let (number, unit) = split(&text).ok_or_else(invalid)?;
        let bytes_per_unit = match unit {
            "B" => 1.0,
            "KiB" => 1024.0,
            "MiB" => 1024.0 * 1024.0,
            _ => return Err(invalid()),
        };
        let bytes = number * bytes_per_unit;
        if bytes < 1.0 || bytes > MAX_SIZE_BYTES as f64 {
            return Err(invalid());
        }
        Ok(Self(bytes as u64))
    }
}

impl From<Size> for String {
    fn from(size: Size) -> Self {
        format!("{}B", size.0)
    }
}

impl fmt::Display for Timespan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&String::from(*self))
    }
}
