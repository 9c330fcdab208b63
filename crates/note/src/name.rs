//! Names that operators give to nodes, accounts, routes and the like.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;

/// A name of 1 to 64 bytes: lower-case letters, digits, `-`, `_` and `.`,
/// starting with a letter or digit. Clones share the text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "Arc<str>")]
pub struct Name(Arc<str>);

impl Name {
    /// Wraps a name that another system assigned, without checking its length
    /// or characters.
    pub fn unchecked(text: &Arc<str>) -> Self {
        Self(Arc::clone(text))
    }

    /// Returns the text; it is shared, not copied.
    pub fn to_arc(&self) -> Arc<str> {
        Arc::clone(&self.0)
    }
}

impl TryFrom<String> for Name {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
        let valid_start = text
            .bytes()
            .next()
            .is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
        if !valid_start || text.len() > MAX_NAME_BYTES || !text.bytes().all(allowed) {
            return Err(format!(
                "`{}` is not a valid name: expected 1 to {MAX_NAME_BYTES} of a-z, 0-9, -, _ and ., starting with a letter or digit",
                text.chars().take(MAX_NAME_BYTES).collect::<String>()
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
