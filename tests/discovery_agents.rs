//! Tests of the discovery watch in which the order of events matters: the test acts as the agent, step
//! by step.

mod support;

use llm_router::interface::UpdateKind;
use rstest::rstest;
use std::time::Duration;
use support::watcher::*;
use tokio::time::{sleep, timeout};

/// Guards against a snapshot that reverts deltas: one polled during a watch may be older than the deltas of
/// the watch.
#[tokio::test(start_paused = true)]
async fn outdated_snapshot_of_the_same_agent_is_rejected() {
    run_local(async {
        let mut fixture = Fixture::start();
        let all = [endpoint("a", "ready"), endpoint("b", "ready")];
        let mut watch = fixture.accept_watch(&snapshot(5, &all)).await;
        fixture.watcher.poll_requested.notify_one();
        let mut poll = fixture.next_call().await;
        assert_eq!(poll.request_line().await, POLL_REQUEST_LINE);
        // The poll is in progress when the watch reports the drain.
        watch.write_line(&delta(7, &[endpoint("a", "draining")])).await;
        fixture.next_update().await;
        poll.respond(&snapshot(6, &all)).await;
        watch.write_line(&delta(6, &[endpoint("a", "ready")])).await;
        watch.write_line(&delta(8, &[endpoint("c", "ready")])).await;
        assert_eq!(fixture.next_update().await, (UpdateKind::Delta, vec!["c Ready".into()]));
        assert!(!fixture.is_ready("a") && fixture.is_ready("b") && fixture.is_ready("c"));
    })
    .await;
}

/// Guards against a change that is lost between a poll and the next watch: the watch starts after the
/// sequence number of the polled snapshot.
#[tokio::test(start_paused = true)]
async fn change_between_poll_and_watch_is_not_missed() {
    run_local(async {
        let mut fixture = Fixture::start();
        fixture.accept_watch(&snapshot(5, &[endpoint("a", "ready")])).await;
        fixture.switch_to_new_agent();
        let mut poll = fixture.next_call().await;
        assert_eq!((poll.agent, poll.request_line().await), (address(NEW_AGENT), POLL_REQUEST_LINE.into()));
        poll.respond(&snapshot(3, &[endpoint("a", "ready")])).await;
        let mut watch = fixture.next_call().await;
        assert!(watch.request_line().await.contains("after=3 "));
        watch.begin_watch().await;
        watch.write_line(&delta(4, &[endpoint("a", "draining")])).await;
        fixture.next_update().await;
        fixture.next_update().await;
        assert!(!fixture.is_ready("a"));
    })
    .await;
}

/// Guards against an empty snapshot that removes all workers: an agent that has just started may not know any
/// yet.
#[tokio::test(start_paused = true)]
async fn empty_snapshot_withdraws_no_worker() {
    run_local(async {
        let mut fixture = Fixture::start();
        let mut watch = fixture.accept_watch(&snapshot(5, &[endpoint("a", "ready")])).await;
        watch.write_line(&snapshot(6, &[])).await;
        watch.write_line(&delta(7, &[endpoint("b", "ready")])).await;
        assert_eq!(fixture.next_update().await, (UpdateKind::Delta, vec!["b Ready".into()]));
        assert!(fixture.is_ready("a") && fixture.is_ready("b"));
    })
    .await;
}

/// Guards against a change that is lost in a truncated message while heartbeats keep the watch alive.
#[rstest]
#[tokio::test(start_paused = true)]
async fn truncated_change_is_requested_again_in_time(#[values(2, 3, 30)] parts: usize) {
    run_local(async {
        let mut fixture = Fixture::start();
        let mut watch = fixture.accept_watch(&snapshot(5, &[endpoint("a", "ready")])).await;
        let text = delta(6, &[endpoint("a", "draining")]);
        watch.write_chunk(&text[..text.len() / parts]).await;
        let heartbeats = async {
            loop {
                sleep(Duration::from_secs(1)).await;
                watch.write_line("").await;
            }
        };
        let next_watch = async {
            let mut watch = fixture.next_call().await;
            assert!(watch.request_line().await.contains("after=5 "));
            watch.begin_watch().await;
            watch.write_line(&text).await;
            fixture.next_update().await
        };
        let update = async {
            tokio::select! { update = next_watch => update, () = heartbeats => unreachable!() }
        };
        assert_eq!(timeout(UPDATE_DEADLINE, update).await.unwrap().1, ["a Draining"]);
    })
    .await;
}

/// Guards against a watch that is closed although all messages are completed, because each chunk ends within
/// a message.
#[tokio::test(start_paused = true)]
async fn split_messages_do_not_end_the_watch() {
    run_local(async {
        let mut fixture = Fixture::start();
        let mut watch = fixture.accept_watch(&snapshot(5, &[endpoint("a", "ready")])).await;
        let mut rest = String::new();
        for sequence in 6..20 {
            let text = delta(sequence, &[endpoint(&format!("b-{sequence}"), "ready")]);
            let (first_half, second_half) = text.split_at(text.len() / 2);
            watch.write_chunk(&format!("{rest}{first_half}")).await;
            rest = format!("{second_half}\n");
            sleep(Duration::from_secs(1)).await;
        }
        for sequence in 6..19 {
            assert_eq!(fixture.next_update().await.1, [format!("b-{sequence} Ready")]);
        }
        assert!(fixture.calls.try_recv().is_err());
    })
    .await;
}

/// The state of the watcher when the address of discovery changes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WatcherState {
    Connect,
    Call,
    Watch,
    Backoff,
}

/// Guards against a call to a new agent that waits for a call, watch or delay of the old one, and against
/// responses of the old agent that are applied after the change.
#[rstest]
#[tokio::test(start_paused = true)]
async fn new_agent_is_called_immediately(
    #[values(WatcherState::Connect, WatcherState::Call, WatcherState::Watch, WatcherState::Backoff)]
    state: WatcherState,
) {
    run_local(async {
        let mut fixture = Fixture::start();
        let mut old_call = None;
        match state {
            WatcherState::Connect => fixture.accepts_connections.set(false),
            WatcherState::Call => {
                let mut call = fixture.next_call().await;
                call.request_line().await;
                old_call = Some(call);
            }
            WatcherState::Watch => {
                old_call = Some(fixture.accept_watch(&snapshot(5, &[endpoint("a", "ready")])).await);
            }
            WatcherState::Backoff => {
                // Closed without a response: the watcher backs off before it calls again.
                drop(fixture.next_call().await);
                fixture.wait_until_unavailable().await;
            }
        }
        tokio::task::yield_now().await;
        fixture.accepts_connections.set(true);
        fixture.switch_to_new_agent();
        if let Some(old_call) = &mut old_call {
            old_call.begin_watch().await;
            old_call.write_line(&snapshot(9, &[endpoint("old", "ready")])).await;
        }
        let mut poll = timeout(Duration::from_millis(50), fixture.next_call()).await.expect("not at once");
        assert_eq!((poll.agent, poll.request_line().await), (address(NEW_AGENT), POLL_REQUEST_LINE.into()));
        poll.respond(&snapshot(2, &[endpoint("new", "ready")])).await;
        assert_eq!(fixture.next_update().await, (UpdateKind::Snapshot, vec!["new Ready".into()]));
        assert!(fixture.is_ready("new") && !fixture.is_ready("old") && !fixture.is_ready("a"));
    })
    .await;
}

/// Guards against a new agent that is watched from a sequence number of the old one, because its address and the
/// end of the backoff delay arrive together. Which of them came first used to be random.
#[tokio::test(start_paused = true)]
async fn new_agent_is_polled_if_the_backoff_ends_at_the_same_time() {
    const RUNS: usize = 30;
    for _ in 0..RUNS {
        run_local(async {
            let mut fixture = Fixture::start();
            // Closed without a response: the watcher backs off before it calls again.
            drop(fixture.next_call().await);
            fixture.wait_until_unavailable().await;
            sleep(fixture.backoff.delay(1, Duration::ZERO)).await;
            fixture.switch_to_new_agent();
            let mut poll = fixture.next_call().await;
            assert_eq!(
                (poll.agent, poll.request_line().await),
                (address(NEW_AGENT), POLL_REQUEST_LINE.into())
            );
        })
        .await;
    }
}

/// Guards against requests to workers that the old agent reported as draining or gone, while the new agent
/// still lists them as ready.
#[rstest]
#[case::draining("draining")]
#[case::gone("gone")]
#[tokio::test(start_paused = true)]
async fn outdated_snapshot_of_a_new_agent_restores_no_worker(#[case] status: &str) {
    run_local(async {
        let mut fixture = Fixture::start();
        let all = [endpoint("a", "ready"), endpoint("b", "ready")];
        let mut watch = fixture.accept_watch(&snapshot(5, &all)).await;
        watch.write_line(&delta(6, &[endpoint("a", status)])).await;
        fixture.next_update().await;
        fixture.switch_to_new_agent();
        let mut poll = fixture.next_call().await;
        poll.request_line().await;
        poll.respond(&snapshot(4, &all)).await;
        assert_eq!(
            fixture.next_update().await,
            (UpdateKind::Snapshot, vec!["a Draining".into(), "b Ready".into()])
        );
        assert!(!fixture.is_ready("a") && fixture.is_ready("b"));
        // Later updates of the new agent are applied.
        let mut watch = fixture.next_call().await;
        watch.request_line().await;
        watch.begin_watch().await;
        watch.write_line(&delta(5, &[endpoint("a", "ready")])).await;
        fixture.next_update().await;
        assert!(fixture.is_ready("a"));
    })
    .await;
}
