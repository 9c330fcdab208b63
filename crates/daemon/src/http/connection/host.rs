//! What the connections of a listener share.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{KeepAlive, Request, Response, ServiceConfig};
use futures_util::future::LocalBoxFuture;
use prometheus::IntGauge;

use crate::clock::Clock;
use crate::memory::Memory;

/// Function that serves one request. Dropping the future cancels the request.
pub type Application = Box<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// Function that returns the largest size of a request head, in bytes.
pub type HeadLimit = Box<dyn Fn() -> usize>;

/// Time limits for what a client sends.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For a request head, from its first byte or, for the first head, from the start
    /// of the connection. It ends with status 408.
    pub head: Duration,
    /// For the next request after the last response. The connection is then closed.
    pub idle: Duration,
}

/// What all connections of a listener share.
pub struct Host {
    pub(super) application: Application,
    pub(super) config: ServiceConfig,
    pub(super) timeouts: Timeouts,
    pub(super) clock: Clock,
    /// Account in which the input of connections is reserved.
    pub(super) memory: Memory,
    /// Largest request head, in bytes.
    pub(super) head_limit: HeadLimit,
    /// Open connections, in the metrics.
    connections: IntGauge,
}

impl Host {
    /// Must be called on the thread that serves the connections. `connections` counts
    /// the open ones.
    pub fn new(
        application: Application,
        timeouts: Timeouts,
        clock: Clock,
        connections: &IntGauge,
        memory: Memory,
        head_limit: HeadLimit,
    ) -> Rc<Self> {
        let keep_alive = KeepAlive::Timeout(timeouts.idle);
        Rc::new(Self {
            application,
            // The codec needs the keep-alive setting and the date only.
            config: ServiceConfig::new(keep_alive, Duration::ZERO, Duration::ZERO, false, None),
            timeouts,
            clock,
            memory,
            head_limit,
            connections: connections.clone(),
        })
    }
}

/// Guard that counts an open connection.
pub struct Count(IntGauge);

impl Count {
    pub fn new(host: &Host) -> Self {
        host.connections.inc();
        Self(host.connections.clone())
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.dec();
    }
}
