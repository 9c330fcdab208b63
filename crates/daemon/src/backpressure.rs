//! Windows of the local target's calls, one for each downstream route that these
//! make calls on.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cardamomshed_code::Code;
use cardamomshed_policy::RouteKey;
use cardamomshed_policy::gate::{Change, Decision, Offer, Preview, Shed, Ticket};
use cardamomshed_policy::window::Window;
use indexmap::IndexMap;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::shed;
use crate::sync::lock;

/// Receives the decision on a queued call.
type Waiter = oneshot::Sender<Result<(), Shed>>;

/// A window with the calls that wait for it.
#[derive(Debug)]
struct Entry {
    window: Window,
    waiting: HashMap<Ticket, Waiter>,
}

/// Change of the limit of a window, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Adjustment {
    /// Limit before the change; `None` if the window was not in force.
    pub before: Option<u32>,
    /// Limit after the change.
    pub after: Option<u32>,
}

/// All windows of one daemon.
#[derive(Debug)]
pub struct Windows {
    clock: Clock,
    entries: Mutex<IndexMap<RouteKey, Entry>>,
    next_ticket: AtomicU64,
}

/// A call's permit to run within the windows of its downstream routes. Dropping it
/// makes room for the next call.
#[derive(Debug)]
pub struct Pass<'a> {
    windows: &'a Windows,
    ticket: Ticket,
    /// Routes whose windows the call has entered or waits for.
    routes: Vec<RouteKey>,
    completed: bool,
    /// Time that the call spent in queues.
    pub waited: Duration,
}

impl Windows {
    /// Creates an empty set.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            entries: Mutex::default(),
            next_ticket: AtomicU64::new(1),
        }
    }

    /// Waits until the call fits into the windows of the downstream routes, at most
    /// until its deadline. The ticket of `offer` is replaced.
    ///
    /// # Errors
    ///
    /// The code for which the call was shed. It has not run.
    pub async fn enter(&self, offer: Offer, routes: &[RouteKey]) -> Result<Pass<'_>, Code> {
        let ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let offer = Offer { ticket, ..offer };
        let mut pass = Pass {
            windows: self,
            ticket,
            routes: Vec::with_capacity(routes.len()),
            completed: false,
            waited: Duration::ZERO,
        };
        for route in routes {
            pass.routes.push(*route);
            let Some(decision) = self.offer(*route, offer)? else {
                continue;
            };
            let queued_at = self.clock.now();
            let shed = match timeout(self.clock.remaining(offer.deadline), decision).await {
                Ok(Ok(Ok(()))) => {
                    pass.waited += self.clock.now().since(queued_at);
                    continue;
                }
                Ok(Ok(Err(shed))) => shed,
                Ok(Err(_)) | Err(_) => Shed::Deadline,
            };
            return Err(shed::code(shed));
        }
        Ok(pass)
    }

    /// Offers a call to one window. Returns a receiver of the later decision if the
    /// call was queued.
    fn offer(
        &self,
        route: RouteKey,
        offer: Offer,
    ) -> Result<Option<oneshot::Receiver<Result<(), Shed>>>, Code> {
        let now = self.clock.now();
        let mut entries = lock(&self.entries);
        let entry = entries.entry(route).or_insert_with(|| Entry {
            window: Window::new(now),
            waiting: HashMap::new(),
        });
        let mut changes = Vec::new();
        let decision = entry.window.offer(offer, now, &mut changes);
        entry.apply(&changes);
        match decision {
            Decision::Run => Ok(None),
            Decision::Wait => {
                let (sender, receiver) = oneshot::channel();
                entry.waiting.insert(offer.ticket, sender);
                Ok(Some(receiver))
            }
            Decision::Shed(shed) => Err(shed::code(shed)),
        }
    }

    /// What would become of a call at the windows of these routes; see
    /// [`Window::preview`]. Waits add up, and the first refusal counts.
    pub fn preview(&self, offer: Offer, routes: &[RouteKey]) -> Preview {
        let now = self.clock.now();
        let entries = lock(&self.entries);
        let mut waited = Duration::ZERO;
        for entry in routes.iter().filter_map(|route| entries.get(route)) {
            match entry.window.preview(offer, now) {
                Preview::Run => {}
                Preview::Wait(wait) => waited += wait,
                Preview::Shed(shed) => return Preview::Shed(shed),
            }
        }
        if waited.is_zero() {
            return Preview::Run;
        }
        Preview::Wait(waited)
    }

    /// Records what the reply to a downstream call reported; see
    /// [`Window::observe`]. Returns the change of the window's limit, if any. Calls
    /// on routes without a window are ignored.
    pub fn observe(
        &self,
        route: RouteKey,
        pressure: f64,
        refused: bool,
        latency: Duration,
    ) -> Option<Adjustment> {
        let mut entries = lock(&self.entries);
        let entry = entries.get_mut(&route)?;
        entry.window.observe(pressure, refused, latency);
        let before = entry.window.limit();
        entry.tick(&self.clock);
        let after = entry.window.limit();
        (before != after).then_some(Adjustment { before, after })
    }

    /// Advances every window to the current time.
    pub fn tick(&self) {
        for entry in lock(&self.entries).values_mut() {
            entry.tick(&self.clock);
        }
    }

    /// Highest pressure of the windows of these routes.
    pub fn pressure(&self, routes: &[RouteKey]) -> f64 {
        let now = self.clock.now();
        let entries = lock(&self.entries);
        let windows = routes.iter().filter_map(|route| entries.get(route));
        windows.fold(0.0, |highest: f64, entry| {
            highest.max(entry.window.pressure(now))
        })
    }
}

impl Entry {
    fn tick(&mut self, clock: &Clock) {
        let mut changes = Vec::new();
        self.window.tick(clock.now(), &mut changes);
        self.apply(&changes);
    }

    /// Passes decisions on to the queued calls.
    fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            let (ticket, decision) = match *change {
                Change::Run(ticket) => (ticket, Ok(())),
                Change::Shed(ticket, shed) => (ticket, Err(shed)),
            };
            if let Some(sender) = self.waiting.remove(&ticket) {
                // If the receiver is gone, the drop of its pass makes room.
                let _ = sender.send(decision);
            }
        }
    }
}

impl Pass<'_> {
    /// Records that the call ended, so that its time counts for the estimates of
    /// the windows.
    pub const fn complete(&mut self) {
        self.completed = true;
    }
}

impl Drop for Pass<'_> {
    fn drop(&mut self) {
        let now = self.windows.clock.now();
        let mut entries = lock(&self.windows.entries);
        for route in &self.routes {
            let Some(entry) = entries.get_mut(route) else {
                continue;
            };
            let mut changes = Vec::new();
            entry.waiting.remove(&self.ticket);
            if self.completed {
                entry.window.finish(self.ticket, now, &mut changes);
            } else {
                entry.window.cancel(self.ticket, now, &mut changes);
            }
            entry.apply(&changes);
        }
    }
}
