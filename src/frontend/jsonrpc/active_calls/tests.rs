//! Tests of the table of active calls.

use super::*;

fn register(calls: &Rc<ActiveCalls>, resumes: bool) -> Result<ActiveCall, RpcError> {
    calls.register("r-1".into(), resumes)
}

#[tokio::test]
async fn a_resume_supersedes_a_call_that_streams_and_no_other() {
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
fn a_dropped_call_frees_its_name_but_not_that_of_the_call_that_superseded_it() {
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
async fn a_cancelled_call_is_interrupted_even_if_it_begins_to_wait_later() {
    let calls = ActiveCalls::new();
    let mut call = register(&calls, false).unwrap();
    assert!(calls.cancel("r-1"));
    assert_eq!(call.interrupted().await, Interruption::Cancelled);
    assert_eq!(call.interrupted().await, Interruption::Cancelled);
}
