//! Unit tests of `stream_progress`.

use super::*;
use bytes::Bytes;
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);

fn part(length: usize, output_events: u64) -> StreamPart {
    let bytes = Bytes::from(vec![b' '; length]);
    StreamPart {
        bytes,
        has_event: true,
        has_progress: output_events > 0,
        output_events,
        ..StreamPart::default()
    }
}

/// Guards against a timeout that counts from when a slow client took the last output: the worker may have been
/// silent for all that time.
#[tokio::test(start_paused = true)]
async fn the_timeout_counts_from_the_arrival_of_output() {
    let mut progress = StreamProgress::new(None);
    advance(SECOND).await;
    progress.record(&part(10, 1)).unwrap();
    let arrival = Instant::now();
    advance(SECOND).await;
    progress.record(&part(10, 0)).unwrap();
    progress.record_resumption();
    assert_eq!(progress.deadline(), arrival + OUTPUT_TIMEOUT);
    advance(10 * SECOND).await;
    progress.record_resumption();
    assert_eq!(progress.deadline(), Instant::now() + RESUME_GRACE);
}

/// Guards against a flood that ends no earlier than its timeout, which a slow client extends.
#[tokio::test(start_paused = true)]
async fn bytes_without_output_are_limited() {
    let mut progress = StreamProgress::new(None);
    for _ in 0..2 {
        progress.record(&part(MAX_BYTES_WITHOUT_OUTPUT, 0)).unwrap();
        progress.record(&part(2 * MAX_BYTES_WITHOUT_OUTPUT, 1)).unwrap();
    }
    progress.record(&part(MAX_BYTES_WITHOUT_OUTPUT, 0)).unwrap();
    assert_eq!(progress.record(&part(1, 0)), Err(EndlessStream::NoOutput));
}

#[tokio::test(start_paused = true)]
async fn events_with_output_are_limited_by_the_tokens_that_were_asked_for() {
    const MAX_EVENTS: u64 = 10 * EVENTS_PER_TOKEN + EXTRA_EVENTS;
    let mut limited = StreamProgress::new(Some(10));
    limited.record(&part(10, MAX_EVENTS)).unwrap();
    limited.record(&part(10, 0)).unwrap();
    assert_eq!(limited.record(&part(10, 1)), Err(EndlessStream::TooManyEvents(MAX_EVENTS)));
    let mut unlimited = StreamProgress::new(None);
    assert_eq!(unlimited.record(&part(10, 1_000_000)), Ok(()));
}
