//! Membership: carries out what the policy decides.

use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::Event;
use cardamomshed_policy::member::{Change, Output, Send, State};
use cardamomshed_wire::{Frame, open, seal};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::seeds;
use crate::node::Node;
use crate::service::Peer;
use crate::sync::lock;

/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM: usize = 8_192;
/// Shortest time between two ticks of the policy.
const MIN_TICK: Duration = Duration::from_millis(20);
/// Ticks of the policy in one probe period.
const TICKS_PER_PERIOD: u32 = 10;

/// Carries out what the policy decided, from any thread.
pub fn post(node: &Node, output: Output) {
    for send in output.sends {
        // The gossip actor ends only with the process.
        let _ = node.channels.gossip.send(send);
    }
    let now = node.clock.now();
    for change in &output.changes {
        node.services.update(&change.record, now);
        node.directory.update(&change.record);
        log_change(node, change);
        if *change.record.profile.domain == *node.settings.domain {
            // A lender slot may have become free.
            node.quota_wake.notify_one();
        }
        if change.record.state == State::Alive && change.before == Some(State::Failed) {
            node.rejoin.notify_one();
        }
    }
    if let Some(name) = output.newer_note {
        *lock(&node.newer_note) = Some(name);
        node.note_wake.notify_one();
    }
    if let Some(confirmed) = output.confirmed {
        node.confirm_at(confirmed);
    }
}

/// Tells the own failure domain that the configuration was confirmed.
pub(super) fn tell_domain(node: &Node) {
    let output = {
        let mut fleet = lock(&node.fleet);
        fleet.confirm(node.confirmed());
        fleet.tell_domain(node.clock.now())
    };
    post(node, output);
}

fn log_change(node: &Node, change: &Change) {
    let event = match (change.before, change.record.state) {
        (None | Some(State::Failed | State::Left), State::Alive) => Event::MemberJoined,
        (_, State::Suspect) => Event::MemberSuspected,
        (before, State::Failed) if before != Some(State::Failed) => Event::MemberFailed,
        (before, State::Left) if before != Some(State::Left) => Event::MemberLeft,
        _ => return,
    };
    node.note_event(
        event,
        format_args!(
            "node={} domain={} incarnation={}",
            change.record.name, change.record.profile.domain, change.record.incarnation
        ),
    );
}

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
                    let output = lock(&node.fleet).receive(packet, from, now);
                    if let Some(name) = &output.out_of_step {
                        ask_member(&node, name);
                    }
                    post(&node, output);
                }
            }
            Some(send) = sends.recv() => transmit(&node, socket, &send).await,
            _ = tick.tick() => {
                let now = node.clock.now();
                let output = {
                    let mut fleet = lock(&node.fleet);
                    fleet.confirm(node.confirmed());
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

/// Asks any member for every member that it knows.
pub(super) fn ask_members(node: &Arc<Node>) {
    let peer = {
        let fleet = lock(&node.fleet);
        let live = fleet
            .members()
            .filter(|record| record.state == State::Alive)
            .collect::<Vec<_>>();
        if live.is_empty() {
            return;
        }
        let chosen = live[rand::random_range(0..live.len())];
        Peer {
            node: Arc::clone(&chosen.name),
            address: chosen.profile.peer,
        }
    };
    let digests = Vec::new();
    node.links.send(node, &peer, Frame::AskMembers { digests });
}

/// Asks a member that knows others for those that differ.
fn ask_member(node: &Arc<Node>, name: &Arc<str>) {
    let address = lock(&node.fleet)
        .get(name)
        .map(|record| record.profile.peer);
    if let Some(address) = address {
        let peer = Peer {
            node: Arc::clone(name),
            address,
        };
        let digests = lock(&node.fleet).group_digests();
        node.links.send(node, &peer, Frame::AskMembers { digests });
    }
}

/// Ends a task with the one that started it.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
