//! Unit tests of the rounds in which connections read.

use super::*;
use std::future::poll_fn;
use tokio::task::{LocalSet, spawn_local};

fn connection(scheduler: &Rc<ReadScheduler>) -> Rc<ConnectionReads> {
    Rc::new(ConnectionReads::new(scheduler.clone()))
}

async fn read(connection: &ConnectionReads) {
    poll_fn(|cx| connection.poll_may_read(cx)).await;
    connection.record_read();
}

/// The number of the round in which a connection may read.
async fn round_of_read(scheduler: &ReadScheduler, connection: &ConnectionReads) -> u64 {
    read(connection).await;
    scheduler.round.get()
}

#[tokio::test]
async fn reads_above_the_limit_wait_for_the_next_round() {
    let test = async {
        let scheduler = Rc::<ReadScheduler>::default();
        let (first, second) = (connection(&scheduler), connection(&scheduler));
        for _ in 0..READS_PER_ROUND {
            assert_eq!(round_of_read(&scheduler, &first).await, 0);
        }
        assert_eq!(round_of_read(&scheduler, &second).await, 1);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a connection whose pipelined requests are all answered in one round.
#[tokio::test]
async fn a_pipelined_request_waits_for_the_next_round() {
    let test = async {
        let scheduler = Rc::<ReadScheduler>::default();
        let connection = connection(&scheduler);
        for round in 0..3 {
            assert_eq!(round_of_read(&scheduler, &connection).await, round);
            connection.record_response();
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a delay for clients that send their next request after the response.
#[tokio::test]
async fn a_request_that_is_not_pipelined_does_not_wait() {
    let scheduler = Rc::<ReadScheduler>::default();
    let connection = connection(&scheduler);
    for _ in 0..3 {
        assert_eq!(round_of_read(&scheduler, &connection).await, 0);
        connection.record_response();
        connection.record_drained();
    }
}

/// Guards against connections that wait forever behind others that are served again and again.
#[tokio::test]
async fn connections_read_in_the_order_in_which_they_came() {
    const CONNECTIONS: usize = 3 * WOKEN_PER_ROUND;
    let test = async {
        let scheduler = Rc::<ReadScheduler>::default();
        let order = Rc::<RefCell<Vec<usize>>>::default();
        let serve = |number| {
            let (connection, order) = (connection(&scheduler), order.clone());
            connection.record_response();
            spawn_local(async move {
                for _ in 0..2 {
                    read(&connection).await;
                    connection.record_response();
                    order.borrow_mut().push(number);
                }
            })
        };
        for task in (0..CONNECTIONS).map(serve).collect::<Vec<_>>() {
            task.await.unwrap();
        }
        let expected: Vec<usize> = (0..CONNECTIONS).chain(0..CONNECTIONS).collect();
        assert_eq!(*order.borrow(), expected);
        assert!(scheduler.waiting.borrow().is_empty());
        assert!(scheduler.round.get() >= 6);
    };
    LocalSet::new().run_until(test).await;
}
