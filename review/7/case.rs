//! Bad clients send hundreds of requests of a class that does not exist at once, and the same again as soon as
//! these are turned away. They read whatever they are sent.

#[path = "../lib-2/mod.rs"]
mod lib;

use lib::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Less than a sixth of the descriptors; with the usual clients they stay under a third.
const BAD_CLIENTS: usize = 150;
/// The threads that act as the bad clients: few, so that the router has a core of its own.
const THREADS: usize = 2;
const AT_ONCE: usize = 300;
const FLOOD_FROM: f64 = 2.0;
const FLOOD_UNTIL: f64 = 8.0;
const LAST_REQUEST_AT: f64 = 9.0;
/// Passing on a stream's end a second late loses it; every limit is longer by 50 ms.
const END_LIMIT: f64 = 1.0 + 0.05;
/// A stand-in that is later than this makes the run void.
const OWN_LATENESS: f64 = 0.25;

struct BadClient {
    stream: TcpStream,
    written: usize,
    answers: usize,
    /// The last bytes read, in which the start of an answer may lie.
    tail: Vec<u8>,
}

impl BadClient {
    fn connect(router: SocketAddr) -> Option<BadClient> {
        let stream = TcpStream::connect(router).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(BadClient { stream, written: 0, answers: 0, tail: Vec::new() })
    }

    /// Writes and reads what is possible. Returns whether the connection is still open.
    fn step(&mut self, bytes: &[u8], buffer: &mut [u8], answered: &AtomicU64) -> bool {
        if self.written < bytes.len() {
            match self.stream.write(&bytes[self.written..]) {
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        match self.stream.read(buffer) {
            Ok(0) => return false,
            Ok(count) => {
                const START: &[u8] = b"HTTP/1.1 ";
                self.tail.extend_from_slice(&buffer[..count]);
                let found = self.tail.windows(START.len()).filter(|window| *window == START).count();
                self.tail.drain(..self.tail.len().saturating_sub(START.len() - 1));
                self.answers += found;
                answered.fetch_add(found as u64, Ordering::Relaxed);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        if self.written == bytes.len() && self.answers >= AT_ONCE {
            (self.written, self.answers) = (0, 0);
        }
        true
    }
}

fn flood(world: &World, router: SocketAddr, answered: &AtomicU64) {
    let one = request("bad-1", "unknown", 3_000, 100, 8, 100);
    let bytes = one.repeat(AT_ONCE);
    let mut buffer = vec![0; 64 * 1024];
    let mut clients: Vec<BadClient> =
        (0..BAD_CLIENTS / THREADS).filter_map(|_| BadClient::connect(router)).collect();
    while world.now() < FLOOD_UNTIL {
        for client in &mut clients {
            if !client.step(&bytes, &mut buffer, answered)
                && let Some(next) = BadClient::connect(router)
            {
                *client = next;
            }
        }
    }
}

fn main() {
    let world = World::start(60);
    let roles = [Role::Reader, Role::Reader, Role::Writer, Role::Writer, Role::Writer];
    let nodos: Vec<Arc<Nodo>> =
        roles.iter().enumerate().map(|(index, role)| Nodo::start(&world, index + 1, *role, SPEED)).collect();
    let entries: Vec<Entry> = nodos.iter().map(|nodo| Entry::of(nodo)).collect();
    let agent = Agent::start(&world, "agent", 41, entries.clone());
    let router = Router::start(&world, "n1", RouterSettings::new(list(41, true, &entries), agent.address));
    let address = router.address;

    let answered = Arc::new(AtomicU64::new(0));
    if world.trouble {
        for _ in 0..THREADS {
            let (world, answered) = (world.clone(), answered.clone());
            thread::spawn(move || {
                world.sleep_until(FLOOD_FROM);
                flood(&world, address, &answered);
            });
        }
    }
    // How late a thread of this test is woken.
    let lateness = Arc::new(AtomicU64::new(0));
    let measured = lateness.clone();
    thread::spawn(move || {
        loop {
            let due = Instant::now() + Duration::from_millis(10);
            thread::sleep(Duration::from_millis(10));
            measured.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
        }
    });
    let mut number = 0;
    while world.now() < LAST_REQUEST_AT {
        let (world, id) = (world.clone(), format!("usual-{number}"));
        thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect(address) else { return };
            world.note("sent", "client", &id, "", 5.0);
            if stream.write_all(&request(&id, "consulta", 5_000, 1_800, 96, 200)).is_ok() {
                read_answer(&world, &mut Reader::new(&world, stream), &id);
            }
        });
        number += 1;
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(8));

    let own = lateness.load(Ordering::Relaxed) as f64 / 1e6;
    world.note("own", "test", "-", "the test's own lateness", own);
    world.note(
        "bad",
        "client",
        "-",
        "requests of bad clients answered",
        answered.load(Ordering::Relaxed) as f64,
    );
    let answers = world.events("answer");
    let (mut streams, mut late, mut worst) = (0, 0, 0.0_f64);
    for written in world.events("written").iter().filter(|event| event.detail == "whole") {
        let end = answers.iter().find(|event| event.id == written.id).map_or(f64::MAX, |event| event.at);
        streams += 1;
        worst = worst.max((end - written.at).min(99.0));
        if end - written.at > END_LIMIT {
            late += 1;
            world.note(
                "late",
                "client",
                &written.id,
                "the end was passed on late",
                (end - written.at).min(99.0),
            );
        }
    }
    if own > OWN_LATENESS {
        world.finish(NOT_RUN, &format!("the test itself was {own:.2} s late"));
    }
    if late == 0 {
        world.finish(HELD, &format!("{streams} streams, the latest end was passed on after {worst:.3} s"));
    }
    world.finish(
        BROKEN,
        &format!(
            "{late} of {streams} streams lost: their end was passed on over 1 s late, the latest {worst:.1} s"
        ),
    );
}
