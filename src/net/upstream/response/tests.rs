//! Tests of what is private to `response`.

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
    ResponseKind::of(&response.body(()).unwrap().into_parts().0, sent)
}

#[rstest]
#[case::stream(Stage::Decode, 200, MAY_HAVE_RUN, Stream)]
#[case::prefill(Stage::Prefill, 202, MAY_HAVE_RUN, Final(Outcome::PrefillCompleted))]
#[case::stream_for_a_prefill(Stage::Prefill, 200, MAY_HAVE_RUN, Unexpected(Outcome::WorkerError))]
#[case::prefill_for_a_decode(Stage::Decode, 202, MAY_HAVE_RUN, Unexpected(Outcome::WorkerError))]
#[case::no_capacity(Stage::Decode, 503, NOT_RUN, Final(Outcome::Rejected))]
#[case::not_in_time(Stage::Decode, 504, NOT_RUN, Final(Outcome::Rejected))]
#[case::unavailable_but_may_have_run(Stage::Decode, 503, MAY_HAVE_RUN, Final(Outcome::WorkerError))]
#[case::cache_missing(Stage::Decode, 410, NOT_RUN, Final(Outcome::CacheMissing))]
#[case::gone_but_may_have_run(Stage::Decode, 410, MAY_HAVE_RUN, Final(Outcome::WorkerError))]
#[case::error(Stage::Decode, 500, NOT_RUN, Final(Outcome::WorkerError))]
fn the_status_tells_what_became_of_a_request(
    #[case] stage: Stage,
    #[case] status: u16,
    #[case] has_not_run: bool,
    #[case] expected: ResponseKind,
) {
    let sent = SentRequest { stage, is_fully_written: true };
    assert_eq!(kind(status, has_not_run, &sent), expected);
}

/// Guards against a response that is taken for the outcome of a request whose last byte the worker never got.
#[rstest]
#[case::success(200, MAY_HAVE_RUN, Unexpected(Outcome::ConnectFailed))]
#[case::error(500, MAY_HAVE_RUN, Unexpected(Outcome::ConnectFailed))]
#[case::cache_missing(410, NOT_RUN, Unexpected(Outcome::ConnectFailed))]
#[case::rejected(503, NOT_RUN, Final(Outcome::Rejected))]
fn a_request_written_in_part_can_only_be_rejected(
    #[case] status: u16,
    #[case] has_not_run: bool,
    #[case] expected: ResponseKind,
) {
    let sent = SentRequest { stage: Stage::Decode, is_fully_written: false };
    assert_eq!(kind(status, has_not_run, &sent), expected);
}
