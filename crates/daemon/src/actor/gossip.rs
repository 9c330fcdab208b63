//! Membership: carries out what the policy decides.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_policy::member::Send;
use cardamomshed_wire::{open, seal};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::seeds;
use crate::members::{ask_member, post};
use crate::node::Node;
use crate::sync::lock;

/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM: usize = 8_192;
/// Shortest time between two ticks of the policy.
const MIN_TICK: Duration = Duration::from_millis(20);
/// Ticks of the policy in one probe period.
const TICKS_PER_PERIOD: u32 = 10;

/// Sends and receives gossip until the task is dropped.
pub(super) async fn run(
    node: Arc<Node>,
    socket: &UdpSocket,
    sends: &mut mpsc::UnboundedReceiver<Send>,
) {
    let period = node.settings.timing.probe.get();
    let mut tick = interval((period / TICKS_PER_PERIOD).max(MIN_TICK));
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM];
    let joining = actix_rt::spawn(seeds::join(Arc::clone(&node)));
    let _joining = AbortOnDrop(joining);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // Errors are echoes of datagrams that could not be delivered.
                if let Ok((length, from)) = received
                    && let Ok(packet) = open(&node.secret, &buffer[..length])
                {
                    let now = node.clock.now();
                    let output = lock(&node.members.fleet).receive(packet, from, now);
                    if let Some(name) = &output.diverged {
                        ask_member(&node, name);
                    }
                    post(&node, output);
                }
            }
            Some(send) = sends.recv() => transmit(&node, socket, &send).await,
            _ = tick.tick() => {
                let now = node.clock.now();
                let output = {
                    let mut fleet = lock(&node.members.fleet);
                    fleet.confirm(node.configuration.confirmed());
                    fleet.tick(&mut rand::rng(), now)
                };
                post(&node, output);
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
    // A datagram that is not sent is a lost one, which the protocol expects.
    let _ = socket.send_to(&datagram, send.to).await;
}

/// Ends a task with the one that started it.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
