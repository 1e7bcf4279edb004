//! Tests of agents that are slow: their responses come late or in pieces. The test acts as the agent, with a
//! paused clock.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::watcher::*;
use tokio::time::{Instant, sleep, timeout};

/// Number of pieces in which a slow agent writes a message.
const PIECES: usize = 10;
/// Rounding of timers to milliseconds.
const TIMER_SLACK: Duration = Duration::from_millis(50);
/// Time within which an agent is heard that takes longer than the router may wait for a change.
const EVENTUALLY: Duration = Duration::from_secs(90);
/// Maximum number of calls that a router has in progress at its agent, besides the watch.
const MAX_CALLS: usize = 3;

/// The list of the new agent: one worker has begun to drain.
fn list() -> String {
    snapshot(5, &[endpoint("a", "draining"), endpoint("b", "ready")])
}

/// Opens a watch at the old agent, then switches to the new one.
async fn start_and_switch() -> Fixture {
    switch(Fixture::start()).await
}

async fn switch(mut fixture: Fixture) -> Fixture {
    let all = [endpoint("a", "ready"), endpoint("b", "ready")];
    fixture.accept_watch(&snapshot(5, &all)).await;
    fixture.switch_to_new_agent();
    fixture
}

/// Responds to the poll of the new agent with a list in which no worker drains.
async fn accept_poll(fixture: &mut Fixture) {
    let mut poll = fixture.next_call().await;
    poll.request_line().await;
    poll.respond(&snapshot(4, &[endpoint("a", "ready"), endpoint("b", "ready")])).await;
    fixture.next_update().await;
}

/// Waits until worker a is no longer ready, with the deadline `EVENTUALLY`. Returns the time that it took.
async fn wait_for_drain(fixture: &Fixture) -> Duration {
    let started_at = Instant::now();
    let drained = async {
        while fixture.is_ready("a") {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(EVENTUALLY, drained).await.expect("the drain was never reported");
    started_at.elapsed()
}

/// Guards against a call that is abandoned while its response arrives: the call would be repeated and abandoned
/// again and again, and a worker that drains would be sent requests.
#[rstest]
#[tokio::test(start_paused = true)]
async fn list_in_pieces_is_not_abandoned(
    #[values(1_500, 3_500, 5_000)] list_ms: u64,
    #[values(false, true)] is_shared: bool,
) {
    run_local(async {
        let list_time = Duration::from_millis(list_ms);
        let fixture = if is_shared { Fixture::start_with_shared_service() } else { Fixture::start() };
        let mut fixture = switch(fixture).await;
        let mut poll = fixture.next_call().await;
        assert_eq!(poll.request_line().await, POLL_REQUEST_LINE);
        poll.respond_in_pieces(&list(), PIECES, list_time).await;
        assert!(wait_for_drain(&fixture).await <= TIMER_SLACK);
        assert!(fixture.next_call().await.request_line().await.contains("after=5 "));
    })
    .await;
}

/// Guards against a call that is repeated although its response has begun in time.
#[tokio::test(start_paused = true)]
async fn response_that_begins_in_time_is_waited_for() {
    run_local(async {
        let pause = Duration::from_millis(900);
        let mut fixture = start_and_switch().await;
        let mut poll = fixture.next_call().await;
        poll.request_line().await;
        sleep(pause).await;
        poll.begin_response(&list(), 0).await;
        sleep(pause).await;
        assert!(fixture.calls.try_recv().is_err(), "the call was repeated");
    })
    .await;
}

/// Guards against a message of a watch that is abandoned while it arrives: the next watch would begin with the
/// same message. Its newline may arrive later than the rest.
#[rstest]
#[tokio::test(start_paused = true)]
async fn watched_list_in_pieces_is_not_abandoned(#[values(3_200, 5_000)] list_ms: u64) {
    run_local(async {
        let mut fixture = Fixture::start();
        let mut watch = fixture.accept_watch(&snapshot(4, &[endpoint("a", "ready")])).await;
        watch.write_in_pieces(&list(), PIECES, Duration::from_millis(list_ms)).await;
        assert!(wait_for_drain(&fixture).await <= TIMER_SLACK);
        sleep(Duration::from_millis(500)).await;
        watch.write_line("").await;
        assert!(fixture.calls.try_recv().is_err(), "the watch was opened anew");
    })
    .await;
}

/// Guards against a list that is never received because it takes longer than the timeout of a message.
#[rstest]
#[tokio::test(start_paused = true)]
async fn list_slower_than_the_message_timeout_is_received_eventually(
    #[values(8, 20)] list_seconds: u64,
    #[values(false, true)] on_watch: bool,
) {
    run_local(async {
        let mut fixture = start_and_switch().await;
        if on_watch {
            accept_poll(&mut fixture).await;
        }
        let agent =
            SlowAgent { response_delay: Duration::ZERO, list_time: Duration::from_secs(list_seconds) };
        agent.spawn(&mut fixture, &list());
        wait_for_drain(&fixture).await;
    })
    .await;
}

/// Guards against calls that are abandoned before the response of an agent that responds late.
#[rstest]
#[tokio::test(start_paused = true)]
async fn agent_that_responds_late_is_heard(
    #[values(900, 1_200, 1_900, 10_000)] delay_ms: u64,
    #[values(0, 1_500)] list_ms: u64,
) {
    run_local(async {
        let (response_delay, list_time) = (Duration::from_millis(delay_ms), Duration::from_millis(list_ms));
        let mut fixture = start_and_switch().await;
        SlowAgent { response_delay, list_time }.spawn(&mut fixture, &list());
        let heard_after = wait_for_drain(&fixture).await;
        assert!(heard_after <= response_delay + list_time + TIMER_SLACK, "{heard_after:?}");
    })
    .await;
}

/// Guards against a call without a response that delays the next one, and against calls without a limit on
/// their number.
#[tokio::test(start_paused = true)]
async fn calls_without_a_response_are_few_and_do_not_delay_the_next() {
    run_local(async {
        let mut fixture = start_and_switch().await;
        let mut pending = Vec::new();
        for _ in 0..10 {
            let mut call = timeout(Duration::from_millis(1_050), fixture.next_call()).await.expect("no call");
            call.request_line().await;
            pending.push(call);
            let mut open_calls = 0;
            for call in &mut pending {
                open_calls += usize::from(!call.is_closed().await);
            }
            assert!(open_calls <= MAX_CALLS, "{open_calls} calls are open");
        }
        fixture.next_call().await.respond(&list()).await;
        assert!(wait_for_drain(&fixture).await <= TIMER_SLACK);
    })
    .await;
}

/// Guards against a list that stops in the middle and keeps the router from asking again.
#[rstest]
#[tokio::test(start_paused = true)]
async fn list_that_stops_is_requested_again(#[values(1, 2, 9)] arrived_pieces: usize) {
    run_local(async {
        let mut fixture = start_and_switch().await;
        let mut poll = fixture.next_call().await;
        poll.request_line().await;
        poll.begin_response(&list(), arrived_pieces * list().len() / PIECES).await;
        let mut second_poll =
            timeout(Duration::from_millis(1_050), fixture.next_call()).await.expect("no call");
        second_poll.request_line().await;
        second_poll.respond(&list()).await;
        assert!(wait_for_drain(&fixture).await <= TIMER_SLACK);
    })
    .await;
}

/// Guards against a message without an end that keeps a watch open, while another watch would report the change
/// in time.
#[rstest]
#[case::letters("x")]
#[case::newlines("\n")]
#[case::spaces(" ")]
#[tokio::test(start_paused = true)]
async fn message_without_an_end_is_requested_again_in_time(#[case] piece: &str) {
    run_local(async {
        let mut fixture = Fixture::start();
        let mut watch = fixture.accept_watch(&snapshot(4, &[endpoint("a", "ready")])).await;
        watch.write_chunk("{\"seq\":5,\"hosts\":[{\"host\":\"").await;
        let without_end = async {
            loop {
                sleep(Duration::from_millis(500)).await;
                watch.write_chunk(piece).await;
            }
        };
        let next_watch = async {
            let mut watch = fixture.next_call().await;
            assert!(watch.request_line().await.contains("after=4 "));
            watch.begin_watch().await;
            watch.write_line(&list()).await;
            wait_for_drain(&fixture).await;
        };
        let drain = async {
            tokio::select! { () = next_watch => {}, () = without_end => unreachable!() }
        };
        timeout(UPDATE_DEADLINE, drain).await.expect("the drain was reported too late");
    })
    .await;
}
