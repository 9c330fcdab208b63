//! Limits on the calls to the local target while it is cold.

use std::sync::Arc;

use cardamomshed_code::Event;

use crate::exchange::{Error, Response};
use crate::members::publish;
use crate::node::Node;
use crate::target::{ColdLimit, Connection};

/// Calls per second to a target that reports that it is cold, before the first
/// configuration tells how many it sustains.
const UNCONFIGURED_RATE: f64 = 2.0;

/// Applies the limit of the configuration in force. Before the first one, `is_cold`
/// tells whether the target reports that it is cold.
pub fn configure(node: &Node, is_cold: bool) {
    let settings = node.current_settings();
    let Some(sidecar) = &settings.sidecar else {
        return;
    };
    let lookup = node.lookup();
    let warmup = lookup.config.warmups.get(&sidecar.service);
    let rate = match warmup {
        Some(warmup) => warmup.rate.get(),
        None if lookup.config.revision == 0 && is_cold => UNCONFIGURED_RATE,
        None if lookup.config.revision == 0 => return,
        None => 0.0,
    };
    let slack = sidecar.cold_slack();
    node.local_target.set_cold_limit(ColdLimit { rate, slack });
}

/// Logs and publishes that the target has become cold or warm. Returns whether it has.
pub fn update(node: &Arc<Node>) -> bool {
    let Some((is_cold, remaining)) = node.local_target.take_cold_change() else {
        return false;
    };
    let event = if is_cold {
        Event::TargetCold
    } else {
        Event::TargetWarm
    };
    let slots = node.local_target.slots();
    node.log_event(
        event,
        format_args!("left_ms={} slots={slots}", remaining.as_millis()),
    );
    publish(node);
    true
}

/// Records how an exchange with the target ended for its connection.
pub fn record_exchange(node: &Node, result: &Result<Response, Error>) {
    let connection = match result {
        Ok(_) | Err(Error::TooLarge | Error::NoMemory) => Connection::Answered,
        Err(Error::Sent(_)) => Connection::Broken,
        Err(Error::NotSent(_)) => Connection::Unopened,
    };
    node.local_target.record_connection(connection);
}
