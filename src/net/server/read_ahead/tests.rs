//! Unit tests of reading ahead.

use super::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (client, listener.accept().await.unwrap().0)
}

/// Guards against requests that are read although they could stay unread, and be retried by their client.
#[tokio::test]
async fn bytes_that_hide_no_close_are_not_read_ahead() {
    let (mut client, server) = connected_pair().await;
    client.write_all(&[b'x'; OPEN_WINDOW_BYTES - 1]).await.unwrap();
    let mut read_ahead = ReadAhead::new(MemoryBudget::new(8 * BLOCK_BYTES));
    assert_eq!(read_ahead.read_available(&server), CloseVisibility::Visible);
    assert!(read_ahead.is_empty());
}

/// Guards against a close that is hidden behind few unread bytes: those that were read before them have closed
/// the receive window, which opens only when there is room for a whole segment.
#[tokio::test]
async fn few_bytes_behind_a_long_request_are_read_ahead() {
    let (mut client, server) = connected_pair().await;
    client.write_all(b"x").await.unwrap();
    let mut read_ahead = ReadAhead::new(MemoryBudget::new(8 * BLOCK_BYTES));
    read_ahead.record_read(OPEN_WINDOW_BYTES);
    assert_eq!(read_ahead.read_available(&server), CloseVisibility::CatchingUp);
    assert_eq!(read_ahead.front(), b"x");
    assert_eq!(read_ahead.read_available(&server), CloseVisibility::Visible);
    client.write_all(b"y").await.unwrap();
    assert_eq!(read_ahead.read_available(&server), CloseVisibility::Visible, "the window was open again");
}

#[tokio::test]
async fn bytes_read_ahead_keep_their_order_and_return_their_memory() {
    let budget = MemoryBudget::new(8 * BLOCK_BYTES);
    let (mut client, server) = connected_pair().await;
    let sent: Vec<u8> = (0..3 * BLOCK_BYTES).map(|index| (index / 7) as u8).collect();
    client.write_all(&sent).await.unwrap();
    let mut read_ahead = ReadAhead::new(budget.clone());
    assert_eq!(read_ahead.read_available(&server), CloseVisibility::CatchingUp);
    let mut peeked = vec![0; sent.len()];
    assert_eq!(read_ahead.peek(&server, &mut peeked), sent.len());
    assert_eq!(peeked, sent);
    let mut consumed = Vec::new();
    while !read_ahead.is_empty() {
        let length = read_ahead.front().len().min(1_000);
        consumed.extend_from_slice(&read_ahead.front()[..length]);
        read_ahead.consume(length);
    }
    assert_eq!(consumed, sent[..consumed.len()]);
    assert!(MemoryReservation::new(budget).grow(8 * BLOCK_BYTES).is_ok());
}

#[tokio::test]
async fn a_close_is_hidden_behind_more_bytes_than_there_is_memory_for() {
    let budget = MemoryBudget::new(3 * BLOCK_BYTES);
    let (mut client, server) = connected_pair().await;
    client.write_all(&[b'x'; 3 * BLOCK_BYTES]).await.unwrap();
    let mut read_ahead = ReadAhead::new(budget.clone());
    assert_eq!(read_ahead.read_available(&server), CloseVisibility::Hidden);
    read_ahead.clear();
    assert!(MemoryReservation::new(budget).grow(3 * BLOCK_BYTES).is_ok());
}
