//! Tests of the daemon against stand-ins, one file a feature.

mod beside_target;
mod call_context;
mod call_referral;
mod caller_tls;
mod config_source;
mod exchange_shapes;
mod idempotency_claims;
mod import_order;
mod key_checks;
mod lender_directory;
mod link_resume;
mod link_silence;
mod note_follow;
mod platform_path;
mod process_signals;
mod quota_fleet;
mod request_heads;
mod signed_target;
mod whole_bodies;

use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_standin::client::Request;
use cardamomshed_standin::fleet::{Fleet, Kind};
use cardamomshed_standin::shape::Shape;

/// A chain of services with two targets each.
fn chain(depth: usize) -> Fleet {
    let shape = Shape::chain(depth, 2, 8, Duration::from_millis(2));
    Fleet::start(shape, Kind::Daemon(Options::default()))
}

/// A `GET` request of the first account at the first daemon.
fn get(fleet: &Fleet, path: &str) -> Request {
    Request::get(fleet.callers()[0], path).key(&fleet.keys[0])
}
