//! Result codes of rejections and errors.

use std::error::Error;
use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($variant:ident = $number:literal, $status:literal, $text:literal;)*) => {
        /// Numbered result of a request, a command or a protocol exchange.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $(#[doc = $text] $variant,)*
        }

        impl Code {
            /// All codes in ascending order of number.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Number in responses, logs and documentation; never reassigned.
            pub const fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)* }
            }

            /// HTTP status of a response with this code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)* }
            }

            /// Title in problem documents and error messages.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

codes! {
    BadRequest = 1001, 400, "the request is malformed";
    HeadTooLarge = 1002, 431, "the request head exceeds its limit";
    BodyTooLarge = 1003, 413, "the body exceeds its limit";
    KeyExposed = 1004, 400, "the key appears outside the Authorization header";
    KeyMissing = 1101, 401, "no key was presented";
    KeyUnknown = 1102, 401, "the key is unknown or withdrawn";
    AccountForbidden = 1103, 403, "the client account may not use this route";
    KeyUnconfirmed = 1104, 503, "the key can no longer be confirmed in this failure domain";
    RouteUnknown = 1201, 404, "no route matches the path";
    ContextUnknown = 1202, 403, "the call context is not live on this target";
    DepthExceeded = 1203, 508, "the call chain is deeper than its limit";
    QuotaExceeded = 1301, 429, "the client account is over its rate and burst";
    AdmissionShed = 1302, 503, "shed at the ingress because a service on the route is overloaded";
    QueueFull = 1303, 503, "the queue beside the target is full of requests of equal or higher priority";
    DeadlineUnmet = 1304, 504, "the deadline cannot be met";
    NoTarget = 1305, 503, "no target of the service is available";
    Leaving = 1306, 503, "the daemon or target is leaving";
    MemoryShed = 1308, 503, "the daemon's memory is nearly used up";
    TargetStalled = 1309, 503, "the target has stopped answering; the call was not started";
    TargetRefused = 1310, 503, "the target said that it did not run the call";
    Evacuated = 1311, 503, "the failure domain of the target is evacuated";
    RegionUnavailable = 1313, 503, "no target of the service is in an allowed region";
    LinkFailed = 1401, 502, "the peer daemon cannot be reached";
    TargetFailed = 1402, 502, "the target broke off the call";
    TargetTimeout = 1403, 504, "the target did not answer before the deadline";
    OutcomeUnknown = 1404, 504, "it is unknown whether the request ran";
    Cancelled = 1405, 499, "the caller cancelled the request";
    AnswerTooLarge = 1406, 502, "the answer exceeds its limit or the memory for answers";
    KeyInProgress = 1501, 409, "a request with this idempotency key is in progress";
    KeyReused = 1502, 422, "the idempotency key was used for another request";
    ClaimUnavailable = 1503, 503, "the platform cannot record the idempotency key";
    ClaimOpen = 1504, 409, "an earlier request with this idempotency key has an unknown fate";
    FileUnreadable = 2001, 400, "the file cannot be read";
    FileTooLarge = 2002, 400, "the file exceeds its limit";
    FileEncoding = 2003, 400, "the file is not valid UTF-8";
    YamlInvalid = 2004, 400, "the YAML is invalid or does not fit the schema";
    ValueRange = 2005, 400, "a figure is out of range";
    NameInvalid = 2006, 400, "a name has characters that are not allowed";
    ReferenceUnknown = 2007, 400, "a name refers to nothing";
    NameTaken = 2008, 409, "a name is in use already";
    NoteConflict = 2101, 409, "another release note was accepted first";
    NoteExists = 2102, 409, "a release note with this name was accepted before with other contents";
    NoteEmpty = 2103, 400, "the release note changes nothing";
    NoteUnconfirmed = 2104, 504, "the release note is accepted but not yet seen in force everywhere";
    PlatformUnavailable = 2201, 503, "the platform's service did not answer";
    PlatformConflict = 2202, 409, "the row has changed";
    PlatformAnswer = 2203, 502, "the platform's answer does not fit its protocol";
    UsageInvalid = 3001, 400, "the command line is invalid";
    DaemonUnreachable = 3002, 502, "the daemon's admin address does not answer";
    ListenFailed = 3003, 500, "an address cannot be listened on";
    RequestUnknown = 3004, 404, "no daemon asked remembers this request";
    TlsInvalid = 3005, 400, "the certificate or its private key is invalid";
    LinkRejected = 3101, 403, "the peer did not prove the fleet secret";
    LinkVersion = 3102, 400, "the peer speaks another version of the link protocol";
    FrameInvalid = 3103, 400, "a frame does not fit the link protocol";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CS{}: {}", self.number(), self.text())
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = String;

    fn try_from(number: u16) -> Result<Self, String> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
            .ok_or_else(|| format!("unknown result code {number}"))
    }
}

/// What is known about the execution of a rejected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No target has executed the request or will execute it.
    No,
    /// The request may have been executed, in whole or in part.
    Unknown,
}

impl Ran {
    /// Value in problem documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// An error: a numbered code and the detail of this occurrence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Numbered cause.
    pub code: Code,
    /// Human-readable detail; may be empty.
    pub detail: String,
}

impl Failure {
    /// Creates an error from a code and the detail of this occurrence.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.detail.is_empty() {
            return write!(f, "{}", self.code);
        }
        write!(f, "{}: {}", self.code, self.detail)
    }
}

impl Error for Failure {}
