//! How long a prefill's state may be held, whatever becomes of the attempts at decode workers.

#[path = "support/rig.rs"]
mod rig;

use rig::*;
use whinhaven::interface::*;

/// A request whose prompt was read, and which a decode worker was sent.
fn sent_to_decode(class: &str) -> Rig {
    let mut rig = Rig::fleet(settings());
    rig.ask(1, class);
    let after = rig.end(1, 0, Outcome::Read);
    assert_eq!(sends(&after).len(), 1);
    rig
}

/// Guards against states held for seconds: a send over a connection that has fallen silent reaches nobody, and no error
/// tells of it.
#[test]
fn a_send_that_is_not_answered_does_not_hold_a_state_past_its_limit() {
    for class in ["safe", "once", "cell"] {
        let mut rig = sent_to_decode(class);
        assert_eq!(releases(&rig.pass(500 * MS)), 1, "{class}");
        assert_eq!(releases(&rig.pass(500 * MS)), 0, "{class}: once is enough");
    }
}

#[test]
fn a_stream_that_has_begun_has_taken_its_state() {
    let mut rig = sent_to_decode("safe");
    rig.pass(100 * MS);
    rig.event(Event::Started { request: RequestId(1), attempt: AttemptIndex(1), elapsed: 100 * MS });
    assert_eq!(releases(&rig.pass(2 * SECOND)), 0);
}

/// Guards against limits that began anew with each attempt that may have reached nobody.
#[test]
fn an_attempt_that_may_have_reached_nobody_does_not_renew_the_limit() {
    for outcome in [Outcome::NoAnswer, Outcome::ConnectionLost] {
        let mut rig = sent_to_decode("safe");
        rig.pass(300 * MS);
        assert_eq!(sends(&rig.end(1, 1, outcome)).len(), 1);
        assert_eq!(releases(&rig.pass(200 * MS)), 1, "{outcome:?}");
    }
}

#[test]
fn an_answer_proves_that_the_attempt_had_arrived() {
    let mut rig = sent_to_decode("safe");
    rig.pass(300 * MS);
    assert_eq!(sends(&rig.end(1, 1, Outcome::TurnedAway)).len(), 1);
    assert_eq!(releases(&rig.pass(200 * MS)), 0);
    assert_eq!(releases(&rig.pass(300 * MS)), 1);
}

/// A release passes a state by for which an attempt waits: another decode worker may still find it, and one that does
/// not says so.
#[test]
fn behind_a_release_another_decode_worker_is_tried_and_then_the_prompt_is_read_anew() {
    let mut rig = sent_to_decode("safe");
    rig.pass(600 * MS);
    let second = rig.end(1, 1, Outcome::NoAnswer);
    assert!(sends(&second).iter().all(|worker| worker.starts_with('w')) && sends(&second).len() == 1);
    let third = rig.end(1, 2, Outcome::NoState);
    assert!(sends(&third).iter().all(|worker| worker.starts_with('r')) && sends(&third).len() == 1);
}
