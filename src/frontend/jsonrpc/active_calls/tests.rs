//! Unit tests of the table of calls in progress.

use super::*;

fn register(calls: &Rc<ActiveCalls>, is_resume: bool) -> Result<ActiveCall, RpcError> {
    calls.register("r-1".into(), is_resume)
}

#[tokio::test]
async fn a_resume_supersedes_only_a_call_that_streams() {
    let calls = ActiveCalls::new();
    let mut first = register(&calls, false).unwrap();
    assert_eq!(register(&calls, false).err(), Some(RpcError::DuplicateRequest));
    assert_eq!(register(&calls, true).err(), Some(RpcError::DuplicateRequest));
    first.mark_streaming();
    assert_eq!(register(&calls, false).err(), Some(RpcError::DuplicateRequest));
    let second = register(&calls, true).unwrap();
    assert_eq!(first.interrupted().await, Interruption::Superseded);
    assert_ne!(first.number(), second.number());
}

#[test]
fn dropping_a_superseded_call_does_not_free_the_name_of_its_successor() {
    let calls = ActiveCalls::new();
    let first = register(&calls, false).unwrap();
    first.mark_streaming();
    let second = register(&calls, true).unwrap();
    drop(first);
    assert!(calls.cancel("r-1"));
    drop(second);
    assert!(!calls.cancel("r-1"));
    assert!(register(&calls, false).is_ok());
}

#[tokio::test]
async fn a_cancellation_is_seen_by_a_call_that_waits_for_it_later() {
    let calls = ActiveCalls::new();
    let mut call = register(&calls, false).unwrap();
    assert!(calls.cancel("r-1"));
    assert_eq!(call.interrupted().await, Interruption::Cancelled);
    assert_eq!(call.interrupted().await, Interruption::Cancelled);
}
