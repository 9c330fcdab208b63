//! Call contexts: what a call on the target may do in the name of its root.
//!
//! The target receives only a random number. It is valid while the call
//! runs on that target, so there is nothing in it worth stealing; account,
//! priority, deadline and tokens stay here.

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

/// Names a context towards the target.
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
            .map_err(|_| Failure::new(Code::ContextUnknown, "the call context is no number"))
    }
}

/// What every call of a chain has from its root.
#[derive(Clone, Debug)]
pub struct Root {
    /// Identity of the root request.
    pub request: Request,
    /// Its client account.
    pub account: Arc<str>,
    /// Its priority.
    pub priority: Priority,
    /// Its place in the order of shedding.
    pub rank: Rank,
}

/// Time during which a call waits for calls that it made.
#[derive(Debug, Default)]
struct Children {
    open: u32,
    since: Moment,
    waited: Duration,
}

/// What a call on the target may do in the name of its root.
#[derive(Debug)]
pub struct Context {
    /// Root request.
    pub request: Request,
    /// Client account of the root request.
    pub account: Arc<str>,
    /// Priority of the root request.
    pub priority: Priority,
    /// Place of the root request in the order of shedding.
    pub rank: Rank,
    /// Never later than the deadline of the call above.
    pub deadline: Moment,
    /// Hops from the caller to the calls made in this context.
    pub depth: u8,
    escrow: Mutex<Escrow>,
    children: Mutex<Children>,
    level: Mutex<Option<Level>>,
    ended: watch::Sender<bool>,
}

impl Context {
    /// A context of a root with these attempt tokens.
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
            ended: watch::Sender::new(false),
        }
    }

    /// What a call made in this context has from its root.
    pub fn root(&self) -> Root {
        Root {
            request: self.request,
            account: Arc::clone(&self.account),
            priority: self.priority,
            rank: self.rank,
        }
    }

    /// Lends attempt tokens to a call.
    pub fn lend(&self) -> u8 {
        self.escrow().lend()
    }

    /// Takes back what a call left.
    pub fn restore(&self, lent: u8, left: u8) {
        self.escrow().restore(lent, left);
    }

    /// Spends a token on another attempt.
    pub fn spend(&self) -> bool {
        self.escrow().spend()
    }

    /// Tokens at hand.
    pub fn tokens(&self) -> u8 {
        self.escrow().held()
    }

    /// Takes in an admission level told by a service below.
    pub fn learn(&self, level: Option<Level>) {
        if let Some(told) = level {
            let mut known = lock(&self.level);
            *known = Some(known.map_or(told, |known| known.lower(told)));
        }
    }

    /// Lowest admission level told by the services below.
    pub fn level(&self) -> Option<Level> {
        *lock(&self.level)
    }

    /// Counts a call made in this context for as long as the guard lives.
    pub fn child<'a>(&'a self, clock: &'a Clock) -> Child<'a> {
        let mut children = lock(&self.children);
        if children.open == 0 {
            children.since = clock.now();
        }
        children.open += 1;
        drop(children);
        Child {
            context: self,
            clock,
        }
    }

    /// Time spent waiting for calls made in this context.
    pub fn waited(&self) -> Duration {
        self.children().waited
    }

    /// Ends the calls made in this context.
    pub fn end(&self) {
        self.ended.send_replace(true);
    }

    /// Waits until the context has ended.
    pub async fn ended(&self) {
        let mut ended = self.ended.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = ended.wait_for(|ended| *ended).await;
    }

    fn escrow(&self) -> std::sync::MutexGuard<'_, Escrow> {
        lock(&self.escrow)
    }

    fn children(&self) -> std::sync::MutexGuard<'_, Children> {
        lock(&self.children)
    }
}

/// A call that is made in a context.
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
            let waited = self.clock.now().since(children.since);
            children.waited += waited;
        }
    }
}

/// The contexts that are valid now.
#[derive(Debug, Default)]
pub struct Contexts {
    live: Mutex<HashMap<Token, Arc<Context>>>,
}

/// A context that is valid while this guard lives.
#[derive(Debug)]
pub struct Live<'a> {
    contexts: &'a Contexts,
    /// The number that the target is given.
    pub token: Token,
    /// The context.
    pub context: Arc<Context>,
}

impl Contexts {
    /// Makes a context valid.
    pub fn open(&self, context: Context) -> Live<'_> {
        let token = Token::random();
        let context = Arc::new(context);
        self.lock().insert(token, Arc::clone(&context));
        Live {
            contexts: self,
            token,
            context,
        }
    }

    /// The context that a target names.
    ///
    /// # Errors
    ///
    /// [`Code::ContextUnknown`] where it is not valid.
    pub fn find(&self, token: &str) -> Result<Arc<Context>, Failure> {
        let token = token.parse::<Token>()?;
        self.lock()
            .get(&token)
            .cloned()
            .ok_or_else(|| Failure::new(Code::ContextUnknown, ""))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Token, Arc<Context>>> {
        lock(&self.live)
    }
}

impl Drop for Live<'_> {
    fn drop(&mut self) {
        self.context.end();
        self.contexts.lock().remove(&self.token);
    }
}
