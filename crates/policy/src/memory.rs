//! Memory of a daemon: what may be reserved, and which connection of a caller is closed
//! first when memory or connections run short.

use std::time::Duration;

use crate::Moment;

/// Memory that the process uses without requests, in bytes.
const PROCESS_BYTES: usize = 24 * 1024 * 1024;
/// Fraction of the rest that may be reserved. What the allocator cannot reuse at once
/// takes up the remainder.
const RESERVABLE: f64 = 0.75;
/// Fraction of the reservable memory that bodies may take. Links and connections have
/// the rest for themselves.
const BODIES: f64 = 0.875;
/// Fraction of the reservable memory that connections of callers may take.
const CONNECTIONS: f64 = 0.5;
/// Use of the memory for bodies, as a fraction, above which one connection may not hold
/// more than [`SHARE`] of it.
const SHARED: f64 = 0.5;
/// Largest fraction of the memory for bodies that one connection then holds.
const SHARE: f64 = 0.25;
/// Use, as a fraction, above which readers without progress are closed early, and to
/// which it is lowered by closing slow readers.
const SHORT: f64 = 0.75;
/// Use, as a fraction, above which new requests are refused and slow readers are closed.
const FULL: f64 = 0.875;
/// Time without progress after which a reader is closed in any case.
const STALL_LIMIT: Duration = Duration::from_secs(30);
/// Time that a reader has before it may be closed for being slow.
const READ_GRACE: Duration = Duration::from_secs(1);
/// Time that a body may take to arrive before its connection may be closed for a new one.
const RECEIVE_GRACE: Duration = Duration::from_secs(3);

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Bodies of requests and calls.
    Request,
    /// Bodies of responses and answers.
    Response,
    /// Buffers of callers' connections.
    Connection,
    /// Buffers of peer links.
    Link,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Request, Self::Response, Self::Connection, Self::Link];

    /// Name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Response => "response",
            Self::Connection => "connection",
            Self::Link => "link",
        }
    }
}

/// Limits of an account, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// All kinds together.
    pub total: usize,
    /// Requests and responses together; at most `total`.
    pub bodies: usize,
    /// Requests; at most `bodies`.
    pub requests: usize,
    /// Connections; at most `total`.
    pub connections: usize,
}

impl Limits {
    /// No limits.
    pub const UNLIMITED: Self = Self {
        total: usize::MAX,
        bodies: usize::MAX,
        requests: usize::MAX,
        connections: usize::MAX,
    };

    /// Limits of a process that may use `memory` bytes, `requests` of them for the bodies
    /// of requests.
    #[must_use]
    pub fn new(memory: usize, requests: usize) -> Self {
        let total = part(memory.saturating_sub(PROCESS_BYTES), RESERVABLE);
        let bodies = part(total, BODIES);
        Self {
            total,
            bodies,
            requests: requests.min(bodies),
            connections: part(total, CONNECTIONS),
        }
    }
}

/// Reserved bytes by kind.
#[derive(Clone, Debug)]
pub struct Account {
    limits: Limits,
    /// Reserved bytes in the order of [`Kind::ALL`]; within `limits` at any time.
    held: [usize; Kind::ALL.len()],
}

impl Account {
    /// Creates an account of which nothing is reserved.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            held: [0; Kind::ALL.len()],
        }
    }

    /// Replaces the limit on the bodies of requests. What is reserved stays so.
    pub fn set_requests(&mut self, bytes: usize) {
        self.limits.requests = bytes.min(self.limits.bodies);
    }

    /// Bytes reserved for a kind.
    #[must_use]
    pub const fn held(&self, kind: Kind) -> usize {
        self.held[kind as usize]
    }

    /// Bytes reserved for all kinds.
    #[must_use]
    pub fn total(&self) -> usize {
        self.held.iter().sum()
    }

    /// Bytes reserved for requests and responses.
    const fn bodies(&self) -> usize {
        self.held(Kind::Request) + self.held(Kind::Response)
    }

    /// Reserves bytes. Returns whether there is room for them; if not, nothing changes.
    pub fn reserve(&mut self, kind: Kind, bytes: usize) -> bool {
        let fits = |held: usize, limit: usize| bytes <= limit.saturating_sub(held);
        let limits = &self.limits;
        let has_room = fits(self.total(), limits.total)
            && match kind {
                Kind::Request => {
                    fits(self.bodies(), limits.bodies) && fits(self.held(kind), limits.requests)
                }
                Kind::Response => fits(self.bodies(), limits.bodies),
                Kind::Connection => fits(self.held(kind), limits.connections),
                Kind::Link => true,
            };
        if has_room {
            self.held[kind as usize] += bytes;
        }
        has_room
    }

    /// Releases bytes that were reserved.
    pub const fn release(&mut self, kind: Kind, bytes: usize) {
        self.held[kind as usize] = self.held[kind as usize].saturating_sub(bytes);
    }

    /// Used fraction of the memory for bodies.
    fn use_of_bodies(&self, closing: usize) -> f64 {
        self.bodies().saturating_sub(closing) as f64 / self.limits.bodies.max(1) as f64
    }

    /// Whether new requests are to be refused, since the memory for bodies is nearly
    /// used up.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.use_of_bodies(0) > FULL
    }

    /// Whether a connection may hold a response of `bytes` beside the `held` bytes of
    /// others. `others` is what other connections hold.
    #[must_use]
    pub fn may_hold(&self, held: usize, bytes: usize, others: usize) -> bool {
        let share = part(self.limits.bodies, SHARE);
        others == 0 || held + bytes <= share || self.use_of_bodies(0) <= SHARED
    }

    /// Chooses the readers whose connections are closed: those without progress, and
    /// while memory is nearly used up the ones that hold most for the rate at which they
    /// read. `stall` is the time without progress that is allowed while memory is short.
    #[must_use]
    pub fn slow_readers(&self, readers: &[Reader], now: Moment, stall: Duration) -> Vec<Slow> {
        let is_short = self.use_of_bodies(0) > SHORT;
        let limit = if is_short { stall } else { STALL_LIMIT };
        let mut closing = 0;
        let mut slow = Vec::new();
        let mut reading = Vec::new();
        for reader in readers.iter().filter(|reader| reader.held > 0) {
            if now.since(reader.progressed) >= limit.min(STALL_LIMIT) {
                closing += reader.held;
                slow.push(Slow {
                    key: reader.key,
                    cause: Cause::Stalled,
                });
            } else if now.since(reader.began) >= READ_GRACE {
                reading.push(reader);
            }
        }
        if self.use_of_bodies(closing) <= FULL {
            return slow;
        }
        reading.sort_by(|a, b| b.time_to_read(now).total_cmp(&a.time_to_read(now)));
        for reader in reading {
            if self.use_of_bodies(closing) <= SHORT {
                break;
            }
            closing += reader.held;
            slow.push(Slow {
                key: reader.key,
                cause: Cause::Slow,
            });
        }
        slow
    }
}

/// Number of a caller's connection within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(pub u64);

/// A connection that responses are written to.
#[derive(Clone, Copy, Debug)]
pub struct Reader {
    /// The connection.
    pub key: ConnectionKey,
    /// Bytes of responses that are held for it.
    pub held: usize,
    /// Bytes written since `began`.
    pub written: u64,
    /// When the first of these responses was ready.
    pub began: Moment,
    /// When bytes were written last; not before `began`.
    pub progressed: Moment,
}

impl Reader {
    /// Seconds for which the held bytes last at the rate so far.
    fn time_to_read(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.began).as_secs_f64();
        self.held as f64 * elapsed / (self.written + 1) as f64
    }
}

/// A reader whose connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slow {
    /// The connection.
    pub key: ConnectionKey,
    /// Why it is closed.
    pub cause: Cause,
}

/// Why the connection of a reader is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It reads nothing.
    Stalled,
    /// It reads slowly and holds much.
    Slow,
}

impl Cause {
    /// Name in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Slow => "slow",
        }
    }
}

/// What a caller's connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No request has been read since this moment.
    Idle(Moment),
    /// The only open request is one whose body has been arriving since this moment.
    Receiving(Moment),
    /// A request is open that may have run.
    Busy,
}

/// Chooses the connection that is closed for a new one: the longest idle, or else the
/// one whose body has been arriving for longest. Neither has a request that may have run.
#[must_use]
pub fn replaceable(
    connections: impl IntoIterator<Item = (ConnectionKey, Activity)>,
    now: Moment,
) -> Option<ConnectionKey> {
    let ranked = connections
        .into_iter()
        .filter_map(|(key, activity)| match activity {
            Activity::Idle(since) => Some(((0, since), key)),
            Activity::Receiving(since) if now.since(since) >= RECEIVE_GRACE => {
                Some(((1, since), key))
            }
            Activity::Receiving(_) | Activity::Busy => None,
        });
    ranked.min().map(|(_, key)| key)
}

/// This fraction of a number of bytes.
fn part(bytes: usize, fraction: f64) -> usize {
    (bytes as f64 * fraction) as usize
}
