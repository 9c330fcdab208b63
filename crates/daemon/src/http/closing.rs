//! Limit on the connections of callers, and the close of those whose responses keep too
//! much memory in use.

use std::net::SocketAddr;
use std::sync::Arc;

use cardamomshed_code::Event;
use cardamomshed_policy::memory::{Kind, replaceable};
use socket2::SockRef;
use tokio::net::TcpStream;

use super::connection_table::Counted;
use crate::node::Node;

/// Memory that one connection takes, in bytes. `Transport::INPUT_BYTES` of it are for
/// input; what exceeds them is reserved as it arrives.
pub const CONNECTION_BYTES: usize = 16 * 1024;
/// Memory that one with TLS takes, in bytes.
pub const TLS_CONNECTION_BYTES: usize = 24 * 1024;
/// Send buffer that the kernel is asked for, in bytes; it takes twice as much. It bounds
/// the kernel's memory, and shows soon that a client does not read.
const SEND_BUFFER: usize = 128 * 1024;

/// Counts a caller's connection, or returns `None` if the limit of connections is reached and
/// none can be closed in its place. `bytes` is the memory that its buffers take.
pub fn admit(node: &Node, tcp: &TcpStream, peer: SocketAddr, bytes: usize) -> Option<Counted> {
    let limit = node.current_settings().max_connections() as usize;
    let connections = &node.connections;
    let mut reservation = node.memory.reserve(Kind::Connection, bytes);
    if connections.len() >= limit || reservation.is_none() {
        let replaced = replaceable(connections.activities(), node.clock.now());
        let Some(key) = replaced else {
            close_event(node, Event::ConnectionRefused, "refused");
            return None;
        };
        close_event(node, Event::ConnectionReplaced, "replaced");
        connections.close(key);
        reservation = reservation.or_else(|| node.memory.reserve(Kind::Connection, 0));
    }
    // Without the option, the kernel chooses the size.
    let _ = SockRef::from(tcp).set_send_buffer_size(SEND_BUFFER);
    Some(Counted::new(connections, peer, node.clock, reservation?))
}

fn close_event(node: &Node, event: Event, cause: &str) {
    node.metrics.closed.with_label_values(&[cause]).inc();
    node.log_event(event, format_args!("open={}", node.connections.len()));
}

/// Closes the connections of slow readers, and reports the use of memory.
pub fn sweep(node: &Arc<Node>) {
    for kind in Kind::ALL {
        let held = node.memory.with(|account| account.held(kind));
        let gauge = node.metrics.memory.with_label_values(&[kind.name()]);
        gauge.set(i64::try_from(held).unwrap_or(i64::MAX));
    }
    let readers = node.connections.readers();
    if readers.is_empty() {
        return;
    }
    let stall = node.current_settings().timing.write.get();
    let now = node.clock.now();
    let slow = node
        .memory
        .with(|account| account.slow_readers(&readers, now, stall));
    for slow in slow {
        let reader = readers.iter().find(|reader| reader.key == slow.key);
        let cause = slow.cause.name();
        node.metrics.closed.with_label_values(&[cause]).inc();
        node.log_event(
            Event::ReaderClosed,
            format_args!("cause={cause} held={}", reader.map_or(0, |one| one.held)),
        );
        node.connections.close(slow.key);
    }
}
