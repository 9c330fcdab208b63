//! Identity of a root request.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;

use cardamomshed_code::{Code, Failure};
use serde::{Deserialize, Serialize};

/// Identity of a root request, the same on every hop of its call chain. Its
/// text form is 32 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Request(u64, u64);

impl Request {
    /// Creates a random identity.
    pub fn random() -> Self {
        Self(rand::random(), rand::random())
    }

    /// Derives an identity from a label that a client chose: the value of the
    /// label if it is a hexadecimal number of at most 64 bits, a hash
    /// otherwise.
    pub fn from_label(label: &str) -> Self {
        if let Ok(value) = u64::from_str_radix(label, 16) {
            return Self(0, value);
        }
        let mut hasher = DefaultHasher::new();
        label.hash(&mut hasher);
        Self(1, hasher.finish())
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

impl fmt::Debug for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Request {
    type Err = Failure;

    fn from_str(text: &str) -> Result<Self, Failure> {
        let invalid = || Failure::new(Code::BadRequest, "a request id has 32 hexadecimal digits");
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(invalid());
        }
        let high = u64::from_str_radix(&text[..16], 16).map_err(|_| invalid())?;
        let low = u64::from_str_radix(&text[16..], 16).map_err(|_| invalid())?;
        Ok(Self(high, low))
    }
}
