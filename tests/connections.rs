//! The life of a client connection: what is read is answered, and what can't be answered is not read.

mod support;

use llm_router::net::server::accept::{RESERVED_CONNECTIONS, ShutdownPhase};
use llm_router::net::server::client_socket::ClientSocket;
use llm_router::net::server::gated_socket::GatedSocket;
use rstest::rstest;
use std::future::poll_fn;
use std::io::Write;
use std::net::Shutdown;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use support::request;
use support::server::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// How a connection comes to its end between two requests.
#[derive(Clone, Copy)]
enum End {
    Shutdown,
    Eviction,
}

async fn ask_health(client: &mut TcpStream) {
    client.write_all(HEALTH).await.unwrap();
    assert!(client.read(&mut [0; 256]).await.unwrap() > 0);
}

/// Guards against a request that is read behind the close of its connection and then dropped: its client may only
/// send again what was not read. The reset tells it so.
#[rstest]
#[case::shutdown(End::Shutdown)]
#[case::eviction(End::Eviction)]
#[tokio::test(start_paused = true)]
async fn a_request_that_crosses_the_close_of_a_resting_connection_is_not_read(#[case] end: End) {
    on_one_thread(async {
        let server = Server::start_with(Options { bound: 1, ..Options::default() }).await.run();
        let mut client = server.connect().await;
        ask_health(&mut client).await;
        let mut other = None;
        match end {
            End::Shutdown => server.stage.send(ShutdownPhase::Closing).unwrap(),
            End::Eviction => {
                // Idle for long enough to make room for others.
                tokio::time::sleep(Duration::from_millis(60)).await;
                let mut newcomer = server.connect().await;
                ask_health(&mut newcomer).await;
                other = Some(newcomer);
            }
        }
        assert_eq!(client.read(&mut [0]).await.unwrap(), 0);
        client.write_all(request("id-1", "send", "hello").as_bytes()).await.unwrap();
        drop(other);
        server.all_closed().await;
        assert!(was_reset(&client), "the request was read");
    })
    .await;
}

/// Guards against a request that is swallowed together with the one before it, whose answer ends the connection; and
/// against a reset that overtakes this answer.
#[tokio::test(start_paused = true)]
async fn a_request_behind_one_whose_answer_ends_the_connection_is_not_read() {
    on_one_thread(async {
        let server = Server::start_with(Options { bound: 0, ..Options::default() }).await.run();
        let mut client = server.connect().await;
        let both = ["id-1", "id-2"].map(|id| request(id, "send", "hello")).concat();
        client.write_all(both.as_bytes()).await.unwrap();
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("connection: close"), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1);
        server.all_closed().await;
        assert!(was_reset(&client), "the second request was read");
    })
    .await;
}

/// Guards against a request that is read and closed over, because what stands behind it can't be read.
#[tokio::test(start_paused = true)]
async fn a_request_in_front_of_what_is_no_request_is_answered() {
    on_one_thread(async {
        let mut server = Server::start().await.run();
        let mut client = server.connect().await;
        client.write_all(request("id-1", "send", "hello").as_bytes()).await.unwrap();
        let taken = server.taken().await;
        client.write_all(b"GARBAGE\r\n\r\n").await.unwrap();
        // The server has every chance to look at what came.
        tokio::time::sleep(Duration::from_millis(50)).await;
        taken.answer.reject(None);
        let mut answers = String::new();
        client.read_to_string(&mut answers).await.unwrap();
        assert!(answers.starts_with("HTTP/1.1 503"), "{answers}");
        assert!(answers.contains("HTTP/1.1 400"), "{answers}");
    })
    .await;
}

/// Guards against a client that ends its sending behind its request and hears nothing. It can't be told from one
/// that has gone, so nothing is begun for it any more.
#[tokio::test]
async fn a_client_that_closes_its_sending_side_behind_a_request_gets_a_final_answer() {
    on_one_thread(async {
        let mut server = Server::start().await.run();
        let mut client = blocking(server.connect().await);
        client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
        let taken = server.taken().await;
        client.shutdown(Shutdown::Write).unwrap();
        assert_eq!(server.left().await, taken.ask.request);
        // As the core does.
        drop(taken);
        server.all_closed().await;
        let answer = rest(&mut client);
        assert!(answer.starts_with("HTTP/1.1 502") && answer.contains("connection: close"), "{answer}");
    })
    .await;
}

/// What stands between the client's request and its close.
#[rstest]
#[case::nothing("")]
#[case::part_of_a_further_request("POST /v1/chat")]
#[tokio::test]
async fn a_close_is_seen_as_soon_as_the_system_knows_of_it(#[case] behind: &str) {
    on_one_thread(async {
        // No room to read anything ahead.
        let mut server = Server::start_with(Options { budget: 16, ..Options::default() }).await.run();
        let mut client = blocking(server.connect().await);
        client.write_all(request("id-1", "send", "hello").as_bytes()).unwrap();
        let taken = server.taken().await;
        assert!(!taken.call.client.has_left());
        // In one step: the runtime does not turn between the close and the look.
        client.write_all(behind.as_bytes()).unwrap();
        drop(client);
        assert!(taken.call.client.has_left(), "the close was not seen");
        assert_eq!(server.left().await, taken.ask.request);
    })
    .await;
}

/// Guards against a full house that lets newcomers wait unheard: clients that say nothing, never all, or stay when they
/// have their answer hold every place and all that is kept in reserve.
#[rstest]
#[case::silent(b"")]
#[case::half_a_request(b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n")]
#[case::answered_and_still_there(HEALTH)]
#[tokio::test(start_paused = true)]
async fn a_newcomer_is_answered_at_once_in_a_full_house(#[case] says: &[u8]) {
    on_one_thread(async {
        let server = Server::start_with(Options { bound: 4, ..Options::default() }).await.run();
        let mut crowd = Vec::new();
        for _ in 0..60 {
            let mut client = server.connect().await;
            client.write_all(says).await.unwrap();
            crowd.push(client);
        }
        let mut client = server.connect().await;
        let began = Instant::now();
        client.write_all(HEALTH).await.unwrap();
        let mut answer = [0; 256];
        let length = client.read(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer[..length]);
        assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
        assert!(began.elapsed() < Duration::from_millis(20), "answered after {:?}", began.elapsed());
        assert!(server.open.count() <= 4 + RESERVED_CONNECTIONS + 1);
    })
    .await;
}

/// Guards against a deadline that begins anew when a request is read: its client has waited since it sent it.
#[tokio::test(start_paused = true)]
async fn a_request_that_waited_behind_another_has_only_what_is_left_of_its_time() {
    on_one_thread(async {
        let mut server = Server::start().await.run();
        let mut client = server.connect().await;
        client.write_all(request("id-1", "send", "hello").as_bytes()).await.unwrap();
        let first = server.taken().await;
        let (sent, at) = (Instant::now(), first.ask.deadline);
        client.write_all(request("id-2", "send", "hello").as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_secs(3)).await;
        first.answer.reject(None);
        let second = server.taken().await;
        assert!(sent.elapsed() >= Duration::from_secs(3));
        // Both ask for eight seconds, and were sent at almost the same time.
        let later = second.ask.deadline - at;
        assert!(later <= 150_000, "{later} us more than its client has");
    })
    .await;
}

/// Guards against a client that is reset while it still sends the body of a request that has been refused: it would
/// never read the refusal. What is left of that body is taken, and nothing behind it.
#[tokio::test]
async fn a_client_that_reads_only_behind_its_whole_body_hears_its_refusal() {
    on_one_thread(async {
        let server = Server::start_with(Options { bound: 0, ..Options::default() }).await.run();
        let mut client = blocking(server.connect().await);
        // What the system of the client takes in one go must not be all of it.
        socket2::SockRef::from(&client).set_send_buffer_size(4 * 1024).unwrap();
        let body = "x".repeat(256 * 1024);
        let (told, answer) = tokio::sync::oneshot::channel();
        std::thread::spawn(move || {
            let sent = client.write_all(request("id-1", "send", &body).as_bytes()).is_ok();
            let further = client.write_all(request("id-2", "send", "hello").as_bytes()).is_ok();
            let answer = rest(&mut client);
            let _ = told.send((sent && further, answer, client));
        });
        let (sent, answer, client) = answer.await.unwrap();
        assert!(sent && answer.starts_with("HTTP/1.1 503"), "{answer}");
        server.all_closed().await;
        let error = client.take_error().unwrap();
        assert!(error.is_some(), "the second request was read");
    })
    .await;
}

/// Guards against a look that never rests: a request in hand whose client is there costs nothing until something comes.
#[tokio::test(start_paused = true)]
async fn a_client_that_is_there_and_silent_is_not_looked_at_again_and_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let socket = ClientSocket::new(1, Rc::new(listener.accept().await.unwrap().0));
    client.write_all(HEALTH).await.unwrap();
    let mut request = vec![0; HEALTH.len()];
    GatedSocket::new(socket.clone()).read_exact(&mut request).await.unwrap();
    let (mut left, mut looks) = (pin!(socket.disconnected()), 0);
    let waiting = poll_fn(|cx| {
        looks += 1;
        left.as_mut().poll(cx)
    });
    assert!(tokio::time::timeout(Duration::from_secs(10), waiting).await.is_err(), "the client is there");
    assert!(looks <= 3, "{looks} looks");
    drop(client);
    socket.disconnected().await;
}
