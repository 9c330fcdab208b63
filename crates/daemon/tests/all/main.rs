//! Integration tests of the daemon against the stand-in platform and targets,
//! one file per feature.

mod allowed_regions;
mod body_integrity;
mod broken_responses;
mod call_context;
mod call_redirect;
mod caller_tls;
mod chunked_requests;
mod config_requests;
mod connection_rules;
mod domain_evacuation;
mod endless_response;
mod exchange_framing;
mod frozen_daemon;
mod idempotency_claims;
mod import_order;
mod key_checks;
mod lender_directory;
mod link_faults;
mod link_resume;
mod local_target;
mod log_writes;
mod malformed_status;
mod member_discovery;
mod note_propagation;
mod pipelined_requests;
mod placed_fleet;
mod platform_sidecar;
mod process_signals;
mod quota_fleet;
mod raw_target;
mod refused_calls;
mod request_heads;
mod request_preview;
mod reserved_returns;
mod response_syntax;
mod retry_outcomes;
mod signed_target;
mod store_return;
mod target_recovery;
mod target_slowdown;
mod unconfirmed_start;
mod warmup_target;

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_daemon::members::apply_output;
use cardamomshed_daemon::node::Node;
use cardamomshed_note::{Limits, Size};
use cardamomshed_policy::member::Record;
use cardamomshed_standin::client::{Request, eventually};
use cardamomshed_standin::fleet::{Fleet, Kind};
use cardamomshed_standin::shape::Shape;

/// Starts a fleet for a chain of `depth` services with two targets each.
fn chain(depth: usize) -> Fleet {
    let shape = Shape::chain(depth, 2, 8, Duration::from_millis(2));
    Fleet::start(shape, Kind::Daemon(Options::default()))
}

/// A `GET` request to the first daemon with the key of the first account.
fn get(fleet: &Fleet, path: &str) -> Request {
    Request::get(fleet.callers()[0], path).key(&fleet.keys[0])
}

/// Text of a `GET` request with a key.
fn request_text(path: &str, key: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {key}\r\n\r\n")
}

/// Opens a connection on which a read takes at most `timeout`.
fn connect(to: SocketAddr, timeout: Duration) -> TcpStream {
    let stream = TcpStream::connect(to).expect("a connection");
    let timeout = Some(timeout);
    stream.set_read_timeout(timeout).expect("a socket");
    stream
}

/// Whether every daemon has this revision of the configuration in force.
fn all_at(fleet: &Fleet, revision: u64) -> bool {
    let mut daemons = fleet.daemons.iter();
    daemons.all(|daemon| daemon.node.lookup().config.revision == revision)
}

fn await_revision(fleet: &Fleet, revision: u64) {
    eventually("the note is in force", || all_at(fleet, revision));
}

/// Raises the limit on bodies, and waits until it is in force. A daemon that does not
/// have the note yet refuses the long response of its target.
fn allow_bodies(fleet: &Fleet, length: usize) {
    let mut note = fleet.blank_note("long-bodies");
    note.limits = Some(Limits {
        body: Size::from_bytes(length as u64),
        ..Limits::default()
    });
    fleet.apply(&note);
    let nodes = fleet.daemons.iter().map(|daemon| &daemon.node);
    eventually("the note is in force", || {
        nodes
            .clone()
            .all(|node| node.lookup().config.limits.body.get() == length)
    });
}

/// Number of members that a daemon regards as live, itself included.
fn live(node: &Node) -> usize {
    node.members.fleet.lock().expect("not poisoned").live()
}

/// Number of lender slots that a daemon holds.
fn lender_slots(node: &Node) -> usize {
    node.quota.lenders.lock().expect("not poisoned").len()
}

/// Record of a daemon by its own view.
fn own_record(node: &Node) -> Record {
    let members = node.members.fleet.lock().expect("not poisoned");
    members.own().clone()
}

/// Has a daemon learn these records of members.
fn learn(node: &Node, records: Vec<Record>) {
    let output = {
        let mut members = node.members.fleet.lock().expect("not poisoned");
        members.merge_all(records, node.clock.now())
    };
    apply_output(node, output);
}
