//! Which requests of a connection start, and which response ends it.

use cardamomshed_policy::pipeline::{Limits, Need, Pipeline};

use crate::check;

const LIMITS: Limits = Limits {
    requests: 3,
    waiting_bytes: 100,
};

/// Guards against unbounded work for a client that does not read.
#[test]
fn limits_stop_starts() {
    let mut pipeline = Pipeline::new(LIMITS);
    assert!(pipeline.may_start(100) && !pipeline.may_start(101));
    for number in 0..3 {
        pipeline.start(number, false, false);
    }
    assert!(!pipeline.may_start(0), "more requests than the limit");
    assert_eq!(pipeline.pop_first(), Some(0));
    assert!(pipeline.may_start(0));
}

/// Guards against bytes of a body that are taken for the next request.
#[test]
fn incomplete_body_stops_starts() {
    let mut pipeline = Pipeline::new(LIMITS);
    pipeline.start("with body", false, true);
    assert!(!pipeline.may_start(0));
    pipeline.end_body();
    assert!(pipeline.may_start(0));
    pipeline.start("malformed", false, true);
    pipeline.fail_body();
    assert!(!pipeline.may_start(0));
}

/// Guards against a connection that stays in use after a response to a request whose
/// body has not been read, or that closes although an earlier body is complete.
#[test]
fn early_response_ends() {
    let mut pipeline = Pipeline::new(LIMITS);
    let read = pipeline.start("read", false, true);
    pipeline.end_body();
    let unread = pipeline.start("unread", false, true);
    pipeline.answer(read, false);
    assert!(!pipeline.is_first_last());
    pipeline.pop_first();
    pipeline.answer(unread, false);
    pipeline.end_body();
    assert!(pipeline.is_first_last() && !pipeline.may_start(0));
    pipeline.pop_first();
    assert!(pipeline.is_ended());
}

/// Guards against requests that time out while the daemon is the one to act.
#[test]
fn timers_follow_client() {
    let mut pipeline = Pipeline::new(LIMITS);
    assert_eq!(pipeline.need(0, false), Need::Head);
    pipeline.start((), false, false);
    assert_eq!(pipeline.need(0, false), Need::Nothing);
    assert_eq!(pipeline.need(0, true), Need::Head);
    pipeline.pop_first();
    assert_eq!(pipeline.need(1, false), Need::Nothing, "unread response");
    assert_eq!(pipeline.need(0, false), Need::Request);
    pipeline.reject(());
    assert_eq!(pipeline.need(0, true), Need::Nothing);
}

/// Runs a connection on which each step starts a request, answers the oldest
/// unanswered one or the newest, or writes the first response. Returns whether the
/// responses were in order, and whether exactly the last one ended the connection.
fn closes_once(steps: Vec<u8>) -> bool {
    let mut pipeline = Pipeline::new(LIMITS);
    let mut open = Vec::new();
    let (mut started, mut written, mut ended) = (0, 0, false);
    for step in steps {
        match step % 4 {
            0 if pipeline.may_start(0) => {
                let position = pipeline.start((started, false), step % 32 == 0, false);
                open.push(position);
                started += 1;
            }
            1 | 2 if !open.is_empty() => {
                let index = if step % 4 == 1 { 0 } else { open.len() - 1 };
                let position = open.remove(index);
                pipeline.answer(position, step % 5 == 0);
                pipeline.get_mut(position).expect("an open request").1 = true;
            }
            3 if pipeline.first_mut().is_some_and(|(_, answered)| *answered) => {
                let is_last = pipeline.is_first_last();
                let number = pipeline.pop_first().expect("the first request").0;
                if number != written || ended || is_last != pipeline.is_ended() {
                    return false;
                }
                written += 1;
                ended = is_last;
            }
            _ => {}
        }
    }
    !ended || written == started
}

/// Guards against a response that closes the connection before a request that has been
/// started is answered, and against one that closes without saying so.
#[test]
fn last_response_closes() {
    check(closes_once as fn(Vec<u8>) -> bool);
}
