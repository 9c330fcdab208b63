//! Table of the open connections of callers: what they do, what is held for them, and
//! their close from outside the task that serves them.

use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::Poll;

use cardamomshed_policy::Moment;
use cardamomshed_policy::memory::{Activity, ConnectionKey, Reader};
use futures_util::task::AtomicWaker;

use crate::clock::Clock;
use crate::memory::Reservation;
use crate::sync::lock;

/// Connections by the address of the caller.
#[derive(Debug, Default)]
pub struct Table {
    open: Mutex<HashMap<SocketAddr, Arc<Entry>>>,
    next: AtomicU64,
    /// Bytes of responses that are held for all connections.
    held: Arc<AtomicUsize>,
}

/// State of one connection.
#[derive(Debug)]
pub struct Entry {
    key: ConnectionKey,
    clock: Clock,
    state: Mutex<State>,
    /// Bytes that are held for all connections of the table.
    held_by_all: Arc<AtomicUsize>,
    /// Whether the connection is to be closed.
    closed: AtomicBool,
    /// Wakes the task that serves the connection.
    waker: AtomicWaker,
}

#[derive(Debug)]
struct State {
    /// Open requests.
    requests: usize,
    /// Open requests whose body is arriving; at most `requests`.
    receiving: usize,
    /// Accept, end of the last request, or start of the last body, by activity.
    since: Moment,
    /// Bytes of responses that are held for the connection.
    held: usize,
    /// When `held` rose from zero.
    began: Moment,
    /// Bytes written since then.
    written: u64,
    /// When bytes were written last, or `held` rose from zero.
    progressed: Moment,
}

impl Table {
    /// Adds a connection.
    fn insert(&self, peer: SocketAddr, clock: Clock) -> Arc<Entry> {
        let now = clock.now();
        let connection = Arc::new(Entry {
            key: ConnectionKey(self.next.fetch_add(1, Ordering::Relaxed)),
            clock,
            state: Mutex::new(State {
                requests: 0,
                receiving: 0,
                since: now,
                held: 0,
                began: now,
                written: 0,
                progressed: now,
            }),
            held_by_all: Arc::clone(&self.held),
            closed: AtomicBool::new(false),
            waker: AtomicWaker::new(),
        });
        lock(&self.open).insert(peer, Arc::clone(&connection));
        connection
    }

    /// Number of connections that are not being closed.
    pub fn len(&self) -> usize {
        let open = lock(&self.open);
        open.values().filter(|one| !one.is_closed()).count()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The open connection of the caller with this address.
    pub fn get(&self, peer: Option<SocketAddr>) -> Option<Arc<Entry>> {
        lock(&self.open).get(&peer?).cloned()
    }

    /// What each connection that is not being closed does.
    pub fn activities(&self) -> Vec<(ConnectionKey, Activity)> {
        let open = lock(&self.open);
        let open = open.values().filter(|one| !one.is_closed());
        open.map(|one| (one.key, one.activity())).collect()
    }

    /// Connections for which responses are held.
    pub fn readers(&self) -> Vec<Reader> {
        let open = lock(&self.open);
        let readers = open.values().filter_map(|one| one.reader());
        readers.collect()
    }

    /// Bytes that are held for all connections.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Closes the connection with this key.
    pub fn close(&self, key: ConnectionKey) {
        let open = lock(&self.open);
        if let Some(connection) = open.values().find(|one| one.key == key) {
            connection.closed.store(true, Ordering::Release);
            connection.waker.wake();
        }
    }
}

impl Entry {
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    fn activity(&self) -> Activity {
        let state = lock(&self.state);
        if state.requests == 0 {
            Activity::Idle(state.since)
        } else if state.requests == state.receiving {
            Activity::Receiving(state.since)
        } else {
            Activity::Busy
        }
    }

    fn reader(&self) -> Option<Reader> {
        let state = lock(&self.state);
        (state.held > 0 && !self.is_closed()).then_some(Reader {
            key: self.key,
            held: state.held,
            written: state.written,
            began: state.began,
            progressed: state.progressed,
        })
    }

    /// Bytes of responses that are held for the connection.
    pub fn held(&self) -> usize {
        lock(&self.state).held
    }

    /// Records that a request has begun.
    pub fn begin_request(&self) {
        lock(&self.state).requests += 1;
    }

    /// Records that a request has ended.
    pub fn end_request(&self) {
        let mut state = lock(&self.state);
        state.requests -= 1;
        state.since = self.clock.now();
    }

    /// Records that the body of a request is arriving, until the guard is dropped.
    pub fn receive(self: &Arc<Self>) -> Receiving {
        let mut state = lock(&self.state);
        state.receiving += 1;
        state.since = self.clock.now();
        drop(state);
        Receiving(Arc::clone(self))
    }

    /// Holds a response of this length until the guard is dropped.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> Hold {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.held == 0 {
            state.began = now;
            state.progressed = now;
            state.written = 0;
        }
        state.held += bytes;
        drop(state);
        self.held_by_all.fetch_add(bytes, Ordering::Relaxed);
        Hold {
            connection: Arc::clone(self),
            bytes,
        }
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        poll_fn(|context| {
            self.waker.register(context.waker());
            if self.is_closed() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }

    /// Records that bytes of responses were written.
    pub fn record_written(&self, bytes: usize) {
        let mut state = lock(&self.state);
        if state.held > 0 {
            state.written += bytes as u64;
            state.progressed = self.clock.now();
        }
    }
}

/// Marks that the body of a request is arriving.
#[derive(Debug)]
pub struct Receiving(Arc<Entry>);

impl Drop for Receiving {
    fn drop(&mut self) {
        lock(&self.0.state).receiving -= 1;
    }
}

/// A response that is held for a connection.
#[derive(Debug)]
pub struct Hold {
    connection: Arc<Entry>,
    bytes: usize,
}

impl Drop for Hold {
    fn drop(&mut self) {
        lock(&self.connection.state).held -= self.bytes;
        let all = &self.connection.held_by_all;
        all.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A counted connection, which leaves the table on drop.
#[derive(Debug)]
pub struct Counted {
    table: Arc<Table>,
    peer: SocketAddr,
    connection: Arc<Entry>,
    _reservation: Reservation,
}

impl Counted {
    /// Adds a connection to the table.
    pub fn new(
        table: &Arc<Table>,
        peer: SocketAddr,
        clock: Clock,
        reservation: Reservation,
    ) -> Self {
        Self {
            table: Arc::clone(table),
            peer,
            connection: table.insert(peer, clock),
            _reservation: reservation,
        }
    }

    /// State of the connection.
    pub fn connection(&self) -> Arc<Entry> {
        Arc::clone(&self.connection)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut open = lock(&self.table.open);
        // The address may belong to a newer connection by now.
        if open
            .get(&self.peer)
            .is_some_and(|open| Arc::ptr_eq(open, &self.connection))
        {
            open.remove(&self.peer);
        }
    }
}
