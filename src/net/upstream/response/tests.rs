//! Unit tests of `response`.

use super::*;
use ResponseKind::{Final, Stream, Unexpected};
use rstest::rstest;

const NOT_RUN: bool = true;
const MAY_HAVE_RUN: bool = false;

fn kind(status: u16, has_not_run: bool, sent: &SentRequest) -> ResponseKind {
    let mut response = Response::builder().status(status);
    if has_not_run {
        response = response.header("x-not-run", "1");
    }
    ResponseKind::classify(&response.body(()).unwrap().into_parts().0, sent)
}

#[rstest]
#[case::stream(Stage::Decode, 200, MAY_HAVE_RUN, Stream)]
#[case::prefill(Stage::Prefill, 202, MAY_HAVE_RUN, Final(Outcome::PrefillCompleted))]
#[case::stream_for_a_prefill(Stage::Prefill, 200, MAY_HAVE_RUN, Unexpected(Outcome::WorkerError))]
#[case::prefill_for_a_decode(Stage::Decode, 202, MAY_HAVE_RUN, Unexpected(Outcome::WorkerError))]
#[case::no_capacity(Stage::Decode, 503, NOT_RUN, Final(Outcome::Rejected))]
#[case::deadline_exceeded(Stage::Decode, 504, NOT_RUN, Final(Outcome::Rejected))]
#[case::unavailable_but_may_have_run(Stage::Decode, 503, MAY_HAVE_RUN, Final(Outcome::WorkerError))]
#[case::cache_missing(Stage::Decode, 410, NOT_RUN, Final(Outcome::CacheMissing))]
#[case::gone_but_may_have_run(Stage::Decode, 410, MAY_HAVE_RUN, Final(Outcome::WorkerError))]
#[case::error(Stage::Decode, 500, NOT_RUN, Final(Outcome::WorkerError))]
fn a_response_is_classified_by_stage_status_and_not_run_header(
    #[case] stage: Stage,
    #[case] status: u16,
    #[case] has_not_run: bool,
    #[case] expected: ResponseKind,
) {
    let sent = SentRequest { event_memory: MemoryBudget::new(0), stage, is_fully_written: true };
    assert_eq!(kind(status, has_not_run, &sent), expected);
}

/// Guards against a response that is taken for the result of a request whose last byte the worker never
/// received.
#[rstest]
#[case::success(200, MAY_HAVE_RUN, Unexpected(Outcome::ConnectFailed))]
#[case::error(500, MAY_HAVE_RUN, Unexpected(Outcome::ConnectFailed))]
#[case::cache_missing(410, NOT_RUN, Unexpected(Outcome::ConnectFailed))]
#[case::rejected(503, NOT_RUN, Final(Outcome::Rejected))]
fn the_only_valid_response_to_a_partly_written_request_is_a_rejection(
    #[case] status: u16,
    #[case] has_not_run: bool,
    #[case] expected: ResponseKind,
) {
    let sent =
        SentRequest { event_memory: MemoryBudget::new(0), stage: Stage::Decode, is_fully_written: false };
    assert_eq!(kind(status, has_not_run, &sent), expected);
}
