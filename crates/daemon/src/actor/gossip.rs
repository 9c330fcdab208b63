//! Gossip transport: moves packets between the UDP socket and the membership
//! policy.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_policy::member::Send;
use cardamomshed_wire::{open, seal};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::seeds;
use crate::members::{apply_output, request_members_from};
use crate::node::Node;
use crate::sync::lock;

/// Largest datagram received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8_192;
/// Lower bound of the policy's tick interval.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Policy ticks per probe period.
const TICKS_PER_PERIOD: u32 = 10;

/// Sends and receives gossip until the task is dropped.
pub(super) async fn run(
    node: Arc<Node>,
    socket: &UdpSocket,
    outgoing: &mut mpsc::UnboundedReceiver<Send>,
) {
    let period = node.settings.timing.probe.get();
    let mut tick = interval((period / TICKS_PER_PERIOD).max(MIN_TICK_INTERVAL));
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let discovery = actix_rt::spawn(seeds::discover(Arc::clone(&node)));
    let _discovery_guard = AbortOnDrop(discovery);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // Receive errors report earlier datagrams that could not be
                // delivered; they need no handling.
                if let Ok((length, from)) = received
                    && let Ok(packet) = open(&node.secret, &buffer[..length])
                {
                    let now = node.clock.now();
                    let output = lock(&node.members.fleet).receive(packet, from, now);
                    if let Some(name) = &output.diverged {
                        request_members_from(&node, name);
                    }
                    apply_output(&node, output);
                }
            }
            Some(send) = outgoing.recv() => transmit(&node, socket, &send).await,
            _ = tick.tick() => {
                let now = node.clock.now();
                let output = {
                    let mut fleet = lock(&node.members.fleet);
                    if let Some(confirmed) = node.configuration.confirmed() {
                        fleet.confirm(confirmed);
                    }
                    fleet.tick(&mut rand::rng(), now)
                };
                apply_output(&node, output);
            }
        }
    }
}

async fn transmit(node: &Node, socket: &UdpSocket, send: &Send) {
    let datagram = seal(&node.secret, &send.packet);
    node.metrics
        .bytes
        .with_label_values(&["gossip"])
        .inc_by(datagram.len() as u64);
    // The protocol tolerates lost datagrams, so send errors are ignored.
    let _ = socket.send_to(&datagram, send.to).await;
}

/// Aborts the task on drop, so that it ends with the task that spawned it.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
