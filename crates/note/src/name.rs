//! Names of things that operators declare.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest name, in bytes.
const MAX_LENGTH: usize = 64;

/// A name of lower-case letters, digits, `-`, `_` and `.`, which starts with
/// a letter or digit and has at most 64 bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "Arc<str>")]
pub struct Name(Arc<str>);

impl Name {
    /// A name that another system gave, whatever characters it has.
    pub fn foreign(text: &Arc<str>) -> Self {
        Self(Arc::clone(text))
    }

    /// Shares the text.
    pub fn to_text(&self) -> Arc<str> {
        Arc::clone(&self.0)
    }
}

impl TryFrom<String> for Name {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
        let starts_well = text
            .bytes()
            .next()
            .is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
        if !starts_well || text.len() > MAX_LENGTH || !text.bytes().all(allowed) {
            return Err(format!(
                "`{}` is no name: 1 to {MAX_LENGTH} of a-z, 0-9, -, _ and ., a letter or digit first",
                text.chars().take(MAX_LENGTH).collect::<String>()
            ));
        }
        Ok(Self(text.into()))
    }
}

impl From<Name> for Arc<str> {
    fn from(name: Name) -> Self {
        name.0
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl std::borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
