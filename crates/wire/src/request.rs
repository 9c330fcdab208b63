//! The identity of a root request.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;

use cardamomshed_code::{Code, Failure};
use serde::{Deserialize, Serialize};

/// Random identity of a root request, the same on every hop of its chain.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Request(u64, u64);

impl Request {
    /// A new identity.
    pub fn random() -> Self {
        Self(rand::random(), rand::random())
    }

    /// The identity that stands for a label which a client chose: its value
    /// where it is a short hexadecimal number, a hash otherwise.
    pub fn labelled(label: &str) -> Self {
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
