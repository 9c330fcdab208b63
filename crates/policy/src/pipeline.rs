//! Order of the requests that are open on one connection, and of their responses.
//!
//! A client may send further requests before the first is answered. They run
//! concurrently, and their responses are written in the order of the requests.

use std::collections::VecDeque;

/// Number of a request on its connection, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position(u64);

/// Limits above which no further request of a connection is started.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests whose response has not been written whole.
    pub requests: usize,
    /// Bytes of responses that wait to be written.
    pub waiting_bytes: usize,
}

/// What the connection needs from the client before anything else can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Nothing: a response is outstanding, or no further request is read.
    Nothing,
    /// The rest of a request head, or the first head of the connection.
    Head,
    /// The first byte of another request.
    Request,
}

/// The open requests of one connection, each with an item of type `T`.
#[derive(Debug)]
pub struct Pipeline<T> {
    limits: Limits,
    /// In the order of their arrival. The first one's response is the next to be
    /// written.
    open: VecDeque<T>,
    /// Number of requests whose response has been written whole; the position of the
    /// first open request.
    written: u64,
    /// Whether the body of the newest request is incomplete. No further request is
    /// started until it is complete.
    body_open: bool,
    /// Whether the newest request is the last one of the connection. Never reset.
    ending: bool,
}

impl<T> Pipeline<T> {
    /// A connection without requests.
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            open: VecDeque::new(),
            written: 0,
            body_open: false,
            ending: false,
        }
    }

    /// Whether another request may be read and started, while `waiting` bytes of
    /// responses wait to be written.
    pub fn may_start(&self, waiting: usize) -> bool {
        !self.ending
            && !self.body_open
            && self.open.len() < self.limits.requests
            && waiting <= self.limits.waiting_bytes
    }

    /// What the client has to send next, given whether a part of a head has been
    /// received.
    pub fn need(&self, waiting: usize, head_begun: bool) -> Need {
        if !self.may_start(waiting) {
            return Need::Nothing;
        }
        if head_begun || self.newest().is_none() {
            return Need::Head;
        }
        if self.open.is_empty() && waiting == 0 {
            return Need::Request;
        }
        Need::Nothing
    }

    /// Adds a request whose head has been read. `closes`: the client sends no further
    /// request. `has_body`: a body follows, until [`Self::end_body`].
    pub fn start(&mut self, item: T, closes: bool, has_body: bool) -> Position {
        self.ending |= closes;
        self.body_open = has_body;
        let position = Position(self.written + self.open.len() as u64);
        self.open.push_back(item);
        position
    }

    /// Adds a refusal in place of a request that cannot be read. It is the last
    /// response of the connection.
    pub fn reject(&mut self, item: T) {
        self.start(item, true, false);
    }

    /// Whether the newest request waits for its body.
    pub const fn is_body_open(&self) -> bool {
        self.body_open
    }

    /// Records that the body of the newest request is complete.
    pub const fn end_body(&mut self) {
        self.body_open = false;
    }

    /// Records that the rest of the newest request's body cannot be read. What follows
    /// on the connection cannot be told from the body.
    pub const fn fail_body(&mut self) {
        self.body_open = false;
        self.ending = true;
    }

    /// Records that the response to a request is known. No further request is started
    /// if it `closes` the connection, or if the request's body is incomplete.
    pub fn answer(&mut self, position: Position, closes: bool) {
        let unread = self.body_open && Some(position) == self.newest();
        self.ending |= closes || unread;
    }

    /// Records that no further response can be written, so no further request is
    /// started.
    pub const fn stop(&mut self) {
        self.ending = true;
    }

    /// The request whose response is written next.
    pub fn first_mut(&mut self) -> Option<&mut T> {
        self.open.front_mut()
    }

    /// Whether the response that is written next ends the connection. It is then the
    /// only one that is open, so no request that has been started remains unanswered.
    pub fn is_first_last(&self) -> bool {
        self.ending && self.open.len() == 1
    }

    /// Removes the first request, whose response has been written whole.
    pub fn pop_first(&mut self) -> Option<T> {
        let item = self.open.pop_front()?;
        self.written += 1;
        Some(item)
    }

    /// Item of an open request.
    pub fn get_mut(&mut self, position: Position) -> Option<&mut T> {
        let index = position.0.checked_sub(self.written)?;
        self.open.get_mut(usize::try_from(index).ok()?)
    }

    /// Item of the newest open request, to which an incomplete body belongs.
    pub fn newest_mut(&mut self) -> Option<&mut T> {
        self.open.back_mut()
    }

    /// Items of the open requests, in order.
    pub fn items(&self) -> impl Iterator<Item = &T> {
        self.open.iter()
    }

    /// Whether the connection ends: its last response has been written.
    pub fn is_ended(&self) -> bool {
        self.ending && self.open.is_empty()
    }

    fn newest(&self) -> Option<Position> {
        let started = self.written + self.open.len() as u64;
        started.checked_sub(1).map(Position)
    }
}
