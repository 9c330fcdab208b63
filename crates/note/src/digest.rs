//! Callers' keys and their SHA-256 digests.

use std::fmt;

use cardamomshed_code::{Code, Failure};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// Prefix of every key, which makes a leaked key recognizable in a log.
const KEY_PREFIX: &str = "csk_";
/// Prefix of a digest in text form.
const DIGEST_PREFIX: &str = "sha256:";

/// A caller's key: a prefix and 256 random bits in hexadecimal.
///
/// The key is shown to the operator once and never stored; settings, notes
/// and logs contain its [`Digest`] only.
pub struct Key(String);

impl Key {
    /// Generates a key from the thread's cryptographic random generator.
    pub fn random() -> Self {
        let bytes: [u8; 32] = rand::random();
        Self(format!("{KEY_PREFIX}{}", hex(&bytes)))
    }

    /// Returns the secret text that the caller presents.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns the digest that identifies this key in release notes.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.0)
    }
}

/// SHA-256 digest of a caller's key, `sha256:` and 64 hexadecimal digits in
/// text form.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of a presented key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl TryFrom<String> for Digest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        parse(&text).map_err(|failure| failure.detail)
    }
}

fn parse(text: &str) -> Result<Digest, Failure> {
    let invalid = || {
        Failure::new(
            Code::YamlInvalid,
            "a digest must be `sha256:` followed by 64 hexadecimal digits",
        )
    };
    let digits = text.strip_prefix(DIGEST_PREFIX).ok_or_else(invalid)?;
    if digits.len() != 64 || !digits.is_ascii() {
        return Err(invalid());
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let pair = &digits[index * 2..index * 2 + 2];
        *byte = u8::from_str_radix(pair, 16).map_err(|_| invalid())?;
    }
    Ok(Digest(bytes))
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{DIGEST_PREFIX}{}", hex(&self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

fn hex(bytes: &[u8]) -> String {
    use fmt::Write as _;
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
