//! Figures with units.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A length of time such as `250ms`, `2s` or `5m`, up to one day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Length(Duration);

/// A rate such as `120/s`, above zero and up to ten million a second.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PerSecond(f64);

/// A size such as `64KiB` or `4MiB`, up to 1 GiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Size(u64);

/// Longest length of time.
const MAX_LENGTH: Duration = Duration::from_hours(24);
/// Highest rate, a second.
const MAX_RATE: f64 = 1e7;
/// Largest size in bytes.
const MAX_SIZE: u64 = 1 << 30;

impl Length {
    /// A length in milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// A length of time.
    pub const fn new(length: Duration) -> Self {
        Self(length)
    }

    /// The length.
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl PerSecond {
    /// A rate, a second.
    pub const fn new(rate: f64) -> Self {
        Self(rate)
    }

    /// The rate, a second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Size {
    /// A size in bytes.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// The size in bytes.
    pub const fn get(self) -> usize {
        self.0 as usize
    }
}

/// Splits a figure into its digits and its unit.
fn split(text: &str) -> Option<(f64, &str)> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (figure, unit) = text.split_at(digits);
    Some((figure.parse().ok()?, unit))
}

impl TryFrom<String> for Length {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let invalid =
            || format!("`{text}` is no length of time such as 250ms, 2s or 5m, up to 24h");
        let (figure, unit) = split(&text).ok_or_else(invalid)?;
        let seconds = match unit {
            "ms" => figure / 1_000.0,
            "s" => figure,
            "m" => figure * 60.0,
            "h" => figure * 3_600.0,
            _ => return Err(invalid()),
        };
        let length = Duration::try_from_secs_f64(seconds).map_err(|_| invalid())?;
        if length > MAX_LENGTH {
            return Err(invalid());
        }
        Ok(Self(length))
    }
}

impl From<Length> for String {
    fn from(length: Length) -> Self {
        format!("{}ms", length.0.as_millis())
    }
}

impl TryFrom<String> for PerSecond {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let invalid =
            || format!("`{text}` is no rate such as 120/s, above 0/s and up to 10000000/s");
        let (rate, unit) = split(&text).ok_or_else(invalid)?;
        if unit != "/s" || !rate.is_finite() || rate <= 0.0 || rate > MAX_RATE {
            return Err(invalid());
        }
        Ok(Self(rate))
    }
}

impl From<PerSecond> for String {
    fn from(rate: PerSecond) -> Self {
        format!("{}/s", rate.0)
    }
}

impl TryFrom<String> for Size {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let invalid = || format!("`{text}` is no size such as 512B, 64KiB or 4MiB, up to 1024MiB");
        let (figure, unit) = split(&text).ok_or_else(invalid)?;
        let scale = match unit {
            "B" => 1.0,
            "KiB" => 1024.0,
            "MiB" => 1024.0 * 1024.0,
            _ => return Err(invalid()),
        };
        let bytes = figure * scale;
        if bytes < 1.0 || bytes > MAX_SIZE as f64 {
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

impl fmt::Display for Length {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&String::from(*self))
    }
}
