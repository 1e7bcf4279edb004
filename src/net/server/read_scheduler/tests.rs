//! Unit tests of the turns in which connections read.

use super::*;
use std::future::poll_fn;
use tokio::task::{LocalSet, spawn_local};

fn connection(turns: &Rc<ReadTurns>) -> Rc<ConnectionTurns> {
    Rc::new(ConnectionTurns::new(turns.clone()))
}

async fn read(connection: &ConnectionTurns) {
    poll_fn(|cx| connection.poll_may_read(cx)).await;
    connection.record_read();
}

/// The number of the turn in which a connection may read.
async fn turn_of_read(turns: &ReadTurns, connection: &ConnectionTurns) -> u64 {
    read(connection).await;
    turns.turn.get()
}

#[tokio::test]
async fn reads_above_the_limit_wait_for_the_next_turn() {
    let test = async {
        let turns = Rc::<ReadTurns>::default();
        let (first, second) = (connection(&turns), connection(&turns));
        for _ in 0..READS_PER_TURN {
            assert_eq!(turn_of_read(&turns, &first).await, 0);
        }
        assert_eq!(turn_of_read(&turns, &second).await, 1);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a connection whose pipelined requests are all answered in one turn.
#[tokio::test]
async fn a_pipelined_request_waits_for_the_next_turn() {
    let test = async {
        let turns = Rc::<ReadTurns>::default();
        let connection = connection(&turns);
        for turn in 0..3 {
            assert_eq!(turn_of_read(&turns, &connection).await, turn);
            connection.record_response();
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a delay for clients that send their next request after the response.
#[tokio::test]
async fn a_request_that_is_not_pipelined_does_not_wait() {
    let turns = Rc::<ReadTurns>::default();
    let connection = connection(&turns);
    for _ in 0..3 {
        assert_eq!(turn_of_read(&turns, &connection).await, 0);
        connection.record_response();
        connection.record_drained();
    }
}

/// Guards against connections that wait forever behind others that are served again and again.
#[tokio::test]
async fn connections_read_in_the_order_in_which_they_came() {
    const CONNECTIONS: usize = 3 * WOKEN_PER_TURN;
    let test = async {
        let turns = Rc::<ReadTurns>::default();
        let order = Rc::<RefCell<Vec<usize>>>::default();
        let serve = |number| {
            let (connection, order) = (connection(&turns), order.clone());
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
        assert!(turns.waiting.borrow().is_empty());
        assert!(turns.turn.get() >= 6);
    };
    LocalSet::new().run_until(test).await;
}
