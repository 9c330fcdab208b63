//! Integration tests of the daemon against the stand-in platform and targets,
//! one file per feature.

mod allowed_regions;
mod body_integrity;
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
mod refused_calls;
mod request_heads;
mod request_preview;
mod reserved_returns;
mod retry_outcomes;
mod signed_target;
mod store_return;
mod target_recovery;
mod target_slowdown;
mod unconfirmed_start;
mod warmup_target;

use std::time::Duration;

use cardamomshed_daemon::Options;
use cardamomshed_standin::client::Request;
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
