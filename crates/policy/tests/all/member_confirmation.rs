//! Confirmations of the release note in force are dated on the receiver's clock,
//! however long a packet was on its way or queued.

use std::net::SocketAddr;
use std::time::Duration;

use cardamomshed_policy::Moment;
use cardamomshed_policy::confirmation::Date;
use cardamomshed_policy::member::{Fleet, Packet, Payload, Record, State};
use quickcheck::TestResult;

use crate::{check, random, started_member};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn fleet(name: &str, port: u16, incarnation: u64) -> Fleet {
    started_member("domain", name, port, incarnation)
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn date(millis: u64) -> Date {
    Date::of(at(millis))
}

/// A receiver and a sender whose clocks run at different rates from different
/// origins. Times are in milliseconds on the receiver's clock.
struct Pair {
    receiver: Fleet,
    sender: Fleet,
    /// Reading of the sender's clock at time zero, in milliseconds.
    offset: u64,
    /// Rate of the sender's clock relative to the receiver's, less one, in parts
    /// per million.
    drift: i64,
}

impl Pair {
    fn new(offset: u64, drift: i64) -> Self {
        let mut receiver = fleet("receiver", 1, 1);
        let mut sender = fleet("sender", 2, 1);
        receiver.merge_all(vec![sender.own().clone()], Moment::ZERO);
        sender.merge_all(vec![receiver.own().clone()], Moment::ZERO);
        for fleet in [&mut receiver, &mut sender] {
            fleet.set_revision(1, &mut random());
        }
        Self {
            receiver,
            sender,
            offset,
            drift,
        }
    }

    fn sender_clock(&self, time: u64) -> Moment {
        let elapsed = i128::from(time * 1_000);
        let skewed = elapsed + elapsed * i128::from(self.drift) / 1_000_000;
        Moment::from_micros((i128::from(self.offset) * 1_000 + skewed) as u64)
    }

    /// Broadcast of the sender at a time, with a confirmation at an earlier one.
    fn broadcast(&mut self, time: u64, confirmed: u64) -> Packet {
        self.sender.confirm(Date::of(self.sender_clock(confirmed)));
        let output = self.sender.broadcast(self.sender_clock(time));
        output.sends[0].packet.clone()
    }

    /// Delivers a broadcast. Returns the date of its confirmation, and answers the
    /// receiver's ping, if any, after `delays` of request and response.
    fn deliver(&mut self, packet: Packet, time: u64, delays: [u64; 2]) -> Option<Date> {
        let output = self.receiver.receive(packet, address(2), at(time));
        for ping in output.sends {
            let clock = self.sender_clock(time + delays[0]);
            let answers = self.sender.receive(ping.packet, address(1), clock).sends;
            for answer in answers {
                let received = at(time + delays[0] + delays[1]);
                self.receiver.receive(answer.packet, address(2), received);
            }
        }
        output.confirmed
    }
}

#[test]
fn delayed_packet_dated() {
    let mut pair = Pair::new(500_000, 0);
    let first = pair.broadcast(2_000, 1_900);
    assert_eq!(
        pair.deliver(first, 2_001, [1, 1]),
        None,
        "the sender's clock is not known"
    );
    // The receiver is paused while this packet lies in its socket buffer.
    let second = pair.broadcast(3_000, 2_900);
    let confirmed = pair.deliver(second, 9_400, [1, 1]).expect("a date");
    assert!(confirmed <= date(2_900), "dated {confirmed:?}");
    assert!(confirmed >= date(2_890), "dated {confirmed:?}");
}

/// Guards against a withdrawn key that works again: a sender that nobody has
/// confirmed anything to passed its own start on as a confirmation.
#[test]
fn unconfirmed_sender_ignored() {
    let mut pair = Pair::new(500_000, 0);
    for time in [2_000, 3_000] {
        let output = pair.sender.broadcast(pair.sender_clock(time));
        let packet = output.sends[0].packet.clone();
        assert_eq!(pair.deliver(packet, time + 1, [1, 1]), None);
    }
}

/// Guards against a withdrawn key that works again: a confirmation from before the
/// receiver's start was dated at its start.
#[test]
fn earlier_confirmation_dated() {
    let mut pair = Pair::new(500_000, 0);
    let sender_start = Date::of(pair.sender_clock(0));
    pair.sender
        .confirm(sender_start.before(Duration::from_mins(1)));
    let mut dates = [2_000, 3_000].map(|time| {
        let output = pair.sender.broadcast(pair.sender_clock(time));
        pair.deliver(output.sends[0].packet.clone(), time + 1, [1, 1])
    });
    let confirmed = dates[1].take().expect("a date");
    assert!(confirmed.age(at(3_001)) >= Duration::from_secs(63));
}

#[test]
fn first_confirmation_requested() {
    let mut pair = Pair::new(500_000, 0);
    pair.sender.confirm(Date::of(pair.sender_clock(1_900)));
    pair.receiver = fleet("receiver", 1, 2);
    pair.receiver
        .merge_all(vec![pair.sender.own().clone()], at(2_000));
    // The revision in force is pushed to members, which confirm it at once.
    let pings = pair.receiver.set_revision(1, &mut random()).sends;
    let clock = pair.sender_clock(2_001);
    let answers = pair
        .sender
        .receive(pings[0].packet.clone(), address(1), clock);
    let answer = answers.sends[0].packet.clone();
    let output = pair.receiver.receive(answer, address(2), at(2_002));
    let confirmed = output.confirmed.expect("a confirmation");
    assert!(confirmed <= date(1_900), "dated {confirmed:?}");
}

#[test]
fn restarted_sender_unknown() {
    let mut pair = Pair::new(500_000, 0);
    let first = pair.broadcast(2_000, 1_900);
    pair.deliver(first, 2_001, [1, 1]);
    let mut restarted = fleet("sender", 2, 5);
    restarted.merge_all(vec![pair.receiver.own().clone()], Moment::ZERO);
    restarted.set_revision(1, &mut random());
    pair.sender = restarted;
    let second = pair.broadcast(4_000, 3_900);
    assert_eq!(pair.deliver(second, 4_001, [1, 1]), None);
    let third = pair.broadcast(5_000, 4_900);
    assert!(pair.deliver(third, 5_001, [1, 1]).is_some());
}

#[test]
fn answer_to_earlier_process_ignored() {
    let mut pair = Pair::new(500_000, 0);
    let first = pair.broadcast(2_000, 1_900);
    let ping = pair.receiver.receive(first, address(2), at(2_001)).sends;
    let clock = pair.sender_clock(2_002);
    let answer = pair
        .sender
        .receive(ping[0].packet.clone(), address(1), clock);
    // A process that started anew gets the answer to a ping of its predecessor.
    pair.receiver = fleet("receiver", 1, 2);
    pair.receiver
        .merge_all(vec![pair.sender.own().clone()], Moment::ZERO);
    pair.receiver.set_revision(1, &mut random());
    let output = pair
        .receiver
        .receive(answer.sends[0].packet.clone(), address(2), at(3));
    assert_eq!(output.confirmed, None);
    let second = pair.broadcast(3_000, 2_900);
    assert_eq!(pair.deliver(second, 900, [1, 1]), None);
}

/// Whether a confirmation is dated no later than it was made. `delays` are those
/// of ping, acknowledgement and the packet with the confirmation, which is sent
/// `gap` later, in milliseconds.
fn dated_early(offset: u32, drift: i16, delays: (u16, u16, u16), gap: u16) -> TestResult {
    let mut pair = Pair::new(u64::from(offset), i64::from(drift % 500));
    let first = pair.broadcast(2_000, 1_900);
    let exchange = [delays.0 % 900, delays.1 % 900].map(u64::from);
    pair.deliver(first, 2_001, exchange);
    let sent = 5_000 + u64::from(gap);
    let second = pair.broadcast(sent, sent - 100);
    let arrived = sent + u64::from(delays.2);
    let Some(confirmed) = pair.deliver(second, arrived, [1, 1]) else {
        return TestResult::discard();
    };
    TestResult::from_bool(confirmed <= date(sent - 100))
}

#[test]
fn never_dated_late() {
    check(dated_early as fn(u32, i16, (u16, u16, u16), u16) -> TestResult);
}

#[test]
fn pause_suspects_again() {
    let mut paused = fleet("paused", 1, 1);
    let other = fleet("other", 2, 1);
    paused.merge_all(vec![other.own().clone()], Moment::ZERO);
    let mut random = random();
    let mut now = Moment::ZERO;
    for _ in 0..20 {
        now = now + Duration::from_millis(100);
        paused.tick(&mut random, now);
    }
    let state = |fleet: &Fleet| fleet.get("other").expect("a member").state;
    assert_eq!(state(&paused), State::Suspect, "its probe was not answered");
    // After the pause the suspect has the whole time to refute.
    now = now + Duration::from_secs(20);
    let sends = paused.tick(&mut random, now).sends;
    assert_eq!(state(&paused), State::Suspect);
    let is_probe = |packet: &Packet| matches!(packet.payload, Payload::Ping { .. });
    assert!(sends.iter().any(|send| is_probe(&send.packet)));
    let refuted = Record {
        incarnation: 2,
        ..other.own().clone()
    };
    paused.merge_all(vec![refuted], now);
    for _ in 0..5 {
        now = now + Duration::from_millis(100);
        paused.tick(&mut random, now);
    }
    assert_eq!(state(&paused), State::Alive);
}
