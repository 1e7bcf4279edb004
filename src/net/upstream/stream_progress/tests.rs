//! Unit tests of `stream_progress`.

use super::*;
use bytes::Bytes;
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);

fn part(length: usize, output_events: u64) -> StreamPart {
    let bytes = Bytes::from(vec![b' '; length]);
    StreamPart { bytes, has_event: true, has_progress: output_events > 0, output_events }
}

/// Guards against a timeout that counts from when a slow client took the last output: the worker may have been
/// silent for all that time.
#[tokio::test(start_paused = true)]
async fn the_timeout_counts_from_the_arrival_of_output() {
    let mut progress = StreamProgress::new();
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
    let mut progress = StreamProgress::new();
    for _ in 0..2 {
        progress.record(&part(MAX_BYTES_WITHOUT_OUTPUT, 0)).unwrap();
        progress.record(&part(2 * MAX_BYTES_WITHOUT_OUTPUT, 1)).unwrap();
    }
    progress.record(&part(MAX_BYTES_WITHOUT_OUTPUT, 0)).unwrap();
    assert_eq!(progress.record(&part(1, 0)), Err(EndlessStream::NoOutput));
}
