//! Call contexts: account, priority, deadline and attempt tokens that apply to
//! the calls made by a call on the target.
//!
//! The target receives only a random token, which is valid while the call runs
//! on that target. All attributes stay in the daemon, so a leaked token reveals
//! none of them and expires with the call.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cardamomshed_code::{Code, Failure};
use cardamomshed_policy::admission::{Level, Rank};
use cardamomshed_policy::retry::Escrow;
use cardamomshed_policy::{Moment, Priority};
use cardamomshed_wire::Request;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::sync::lock;

/// Random 128-bit identifier of a context, sent to the target as 32 hexadecimal
/// digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Token(u128);

impl Token {
    fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Token {
    type Err = Failure;

    fn from_str(text: &str) -> Result<Self, Failure> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| Failure::new(Code::ContextUnknown, "malformed call context"))
    }
}

/// Attributes of the root request, which every call of its chain inherits.
#[derive(Clone, Debug)]
pub struct Root {
    /// Id of the root request.
    pub request: Request,
    /// Client account.
    pub account: Arc<str>,
    /// Priority.
    pub priority: Priority,
    /// Rank in the shedding order.
    pub rank: Rank,
}

/// Time during which at least one child call was open.
#[derive(Debug, Default)]
struct Children {
    open: u32,
    busy_since: Moment,
    busy: Duration,
}

/// Attributes and limits of the calls made on behalf of one request or call.
#[derive(Debug)]
pub struct Context {
    /// Id of the root request.
    pub request: Request,
    /// Client account of the root request.
    pub account: Arc<str>,
    /// Priority of the root request.
    pub priority: Priority,
    /// Rank of the root request in the shedding order.
    pub rank: Rank,
    /// Deadline, never later than that of the parent call.
    pub deadline: Moment,
    /// Number of hops from the external caller to the calls made in this context.
    pub depth: u8,
    escrow: Mutex<Escrow>,
    children: Mutex<Children>,
    level: Mutex<Option<Level>>,
    cancelled: watch::Sender<bool>,
}

impl Context {
    /// Creates a context with `tokens` attempt tokens.
    pub fn new(root: Root, deadline: Moment, depth: u8, tokens: u8) -> Self {
        Self {
            request: root.request,
            account: root.account,
            priority: root.priority,
            rank: root.rank,
            deadline,
            depth,
            escrow: Mutex::new(Escrow::new(tokens)),
            children: Mutex::default(),
            level: Mutex::new(None),
            cancelled: watch::Sender::new(false),
        }
    }

    /// Attributes that calls made in this context inherit.
    pub fn root(&self) -> Root {
        Root {
            request: self.request,
            account: Arc::clone(&self.account),
            priority: self.priority,
            rank: self.rank,
        }
    }

    /// Lends attempt tokens to a child call and returns their number.
    pub fn lend(&self) -> u8 {
        self.escrow().lend()
    }

    /// Returns the `left` unused tokens of a child call that was lent `lent`.
    pub fn restore(&self, lent: u8, left: u8) {
        self.escrow().restore(lent, left);
    }

    /// Spends one token on a further attempt. Returns whether there was one.
    pub fn spend(&self) -> bool {
        self.escrow().spend()
    }

    /// Tokens that are neither spent nor lent.
    pub fn tokens(&self) -> u8 {
        self.escrow().held()
    }

    /// Records an admission level reported by a downstream service.
    pub fn record_level(&self, level: Option<Level>) {
        if let Some(reported) = level {
            let mut lowest = lock(&self.level);
            *lowest = Some(lowest.map_or(reported, |lowest| lowest.lower(reported)));
        }
    }

    /// Lowest admission level reported by downstream services.
    pub fn level(&self) -> Option<Level> {
        *lock(&self.level)
    }

    /// Counts a child call as open until the guard is dropped.
    pub fn track_child<'a>(&'a self, clock: &'a Clock) -> Child<'a> {
        let mut children = lock(&self.children);
        if children.open == 0 {
            children.busy_since = clock.now();
        }
        children.open += 1;
        drop(children);
        Child {
            context: self,
            clock,
        }
    }

    /// Total time during which at least one child call was open, without a
    /// period that has not ended yet.
    pub fn child_time(&self) -> Duration {
        self.children().busy
    }

    /// Cancels the calls made in this context.
    pub fn cancel(&self) {
        self.cancelled.send_replace(true);
    }

    /// Waits until the context is cancelled.
    pub async fn cancelled(&self) {
        let mut cancelled = self.cancelled.subscribe();
        // `self` owns the sender, so waiting cannot fail.
        let _ = cancelled.wait_for(|cancelled| *cancelled).await;
    }

    fn escrow(&self) -> std::sync::MutexGuard<'_, Escrow> {
        lock(&self.escrow)
    }

    fn children(&self) -> std::sync::MutexGuard<'_, Children> {
        lock(&self.children)
    }
}

/// Guard that counts an open child call.
#[derive(Debug)]
pub struct Child<'a> {
    context: &'a Context,
    clock: &'a Clock,
}

impl Drop for Child<'_> {
    fn drop(&mut self) {
        let mut children = lock(&self.context.children);
        children.open -= 1;
        if children.open == 0 {
            let busy = self.clock.now().since(children.busy_since);
            children.busy += busy;
        }
    }
}

/// Contexts of the calls that run on the target.
#[derive(Debug, Default)]
pub struct Contexts {
    active: Mutex<HashMap<Token, Arc<Context>>>,
}

/// Guard of a registered context. Dropping it removes the context and cancels
/// the calls made in it.
#[derive(Debug)]
pub struct Guard<'a> {
    contexts: &'a Contexts,
    /// Token that is sent to the target.
    pub token: Token,
    /// The registered context.
    pub context: Arc<Context>,
}

impl Contexts {
    /// Registers a context under a new token.
    pub fn register(&self, context: Context) -> Guard<'_> {
        let token = Token::random();
        let context = Arc::new(context);
        self.lock().insert(token, Arc::clone(&context));
        Guard {
            contexts: self,
            token,
            context,
        }
    }

    /// Looks up the context of a token that the target sent.
    ///
    /// # Errors
    ///
    /// [`Code::ContextUnknown`] if the token is malformed or not registered.
    pub fn find(&self, token: &str) -> Result<Arc<Context>, Failure> {
        let token = token.parse::<Token>()?;
        self.lock()
            .get(&token)
            .cloned()
            .ok_or_else(|| Failure::new(Code::ContextUnknown, ""))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Token, Arc<Context>>> {
        lock(&self.active)
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.context.cancel();
        self.contexts.lock().remove(&self.token);
    }
}
