//! Bad clients send many requests at once, and again as soon as they are turned away, to a router with the
//! least memory of the platform. The platform kills a conductor that is over its limit.

#[path = "../lib-2/mod.rs"]
mod lib;

use lib::*;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// The least memory that the pages name, and the most descriptors.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// A quarter of the descriptors: with the usual clients they stay under a third.
const BAD_CLIENTS: u64 = 250;
/// The requests that a bad client sends at once on its connection.
const AT_ONCE: u64 = 10;
/// Bodies hold 256 KiB at most.
const LARGEST_BODY: u64 = 250 * 1024;
const SECONDS: f64 = 45.0;

/// The private memory of a process without the pages of its program file, in kB.
fn private_memory(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Sends requests at once, reads their answers, and sends again. The bodies differ in length.
fn send_without_end(world: &Arc<World>, router: SocketAddr, client: u64, answered: &AtomicU64) {
    let mut random = client * 7_919 + 12_345;
    let mut number = 0;
    while world.now() < SECONDS {
        let Ok(stream) = TcpStream::connect(router) else { continue };
        let mut reader = Reader::new(world, stream);
        let mut is_open = true;
        while is_open && world.now() < SECONDS {
            let mut bytes = Vec::new();
            for _ in 0..AT_ONCE {
                number += 1;
                random ^= random << 13;
                random ^= random >> 7;
                random ^= random << 17;
                let length = 1_024 + random % (LARGEST_BODY - 1_024);
                let id = format!("bad-{client}-{number}");
                bytes.extend(request(&id, "consulta", 5_000, length / 4, 40, length as usize - 512));
            }
            let mut output = reader.stream.try_clone().expect("a socket");
            let writer = thread::Builder::new().stack_size(64 * 1024);
            let writer = writer.spawn(move || _ = output.write_all(&bytes)).expect("a thread");
            for _ in 0..AT_ONCE {
                is_open = read_quietly(&mut reader);
                if !is_open {
                    break;
                }
                answered.fetch_add(1, Ordering::Relaxed);
            }
            if !is_open {
                let _ = reader.stream.shutdown(Shutdown::Both);
            }
            let _ = writer.join();
        }
    }
}

/// Reads an answer. Returns whether the connection carries another one.
fn read_quietly(reader: &mut Reader) -> bool {
    let Ok(Some(head)) = reader.head() else { return false };
    if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            match reader.chunk() {
                Ok(Some(data)) if data.is_empty() => break,
                Ok(Some(_)) => {}
                _ => return false,
            }
        }
    } else if !matches!(reader.take(head.header("content-length").parse().unwrap_or(0)), Ok(Some(_))) {
        return false;
    }
    !head.header("connection").eq_ignore_ascii_case("close")
}

fn main() {
    let world = World::start(100);
    let roles = [Role::Reader, Role::Reader, Role::Writer, Role::Writer, Role::Writer];
    let nodos: Vec<Arc<Nodo>> =
        roles.iter().enumerate().map(|(index, role)| Nodo::start(&world, index + 1, *role, SPEED)).collect();
    let entries: Vec<Entry> = nodos.iter().map(|nodo| Entry::of(nodo)).collect();
    let agent = Agent::start(&world, "agent", 41, entries.clone());
    let mut settings = RouterSettings::new(list(41, true, &entries), agent.address);
    (settings.memory_mb, settings.sockets) = (MEMORY_MB, SOCKETS);
    let router = Router::start(&world, "n1", settings);
    let address = router.address;

    let answered = Arc::new(AtomicU64::new(0));
    if world.trouble {
        for client in 0..BAD_CLIENTS {
            let (world, answered) = (world.clone(), answered.clone());
            let builder = thread::Builder::new().stack_size(128 * 1024);
            builder.spawn(move || send_without_end(&world, address, client, &answered)).expect("a thread");
        }
    }
    // The usual clients.
    let usual = world.clone();
    thread::spawn(move || {
        for number in 0.. {
            if usual.now() > SECONDS {
                return;
            }
            let (world, id) = (usual.clone(), format!("usual-{number}"));
            thread::spawn(move || {
                let Ok(mut stream) = TcpStream::connect(address) else { return };
                world.note("sent", "client", &id, "", 5.0);
                if stream.write_all(&request(&id, "consulta", 5_000, 1_800, 40, 200)).is_ok() {
                    read_answer(&world, &mut Reader::new(&world, stream), &id);
                }
            });
            thread::sleep(Duration::from_millis(100));
        }
    });
    // The platform.
    let limit = MEMORY_MB * 1024;
    let (mut peak, mut noted) = (0, 0.0);
    while world.now() < SECONDS {
        let memory = private_memory(router.pid);
        peak = peak.max(memory);
        if world.now() > noted + 1.0 {
            noted = world.note("memory", "platform", "-", "private memory in kB", memory as f64);
            world.note(
                "bad",
                "client",
                "-",
                "requests of bad clients answered",
                answered.load(Ordering::Relaxed) as f64,
            );
        }
        if memory > limit {
            world.note("memory", "platform", "-", "over the limit", memory as f64);
            router.kill();
            thread::sleep(Duration::from_secs(1));
            let cut = world.events("answer").iter().filter(|event| event.detail != "whole").count();
            world.finish(
                BROKEN,
                &format!("killed: {memory} kB of private memory, the limit is {limit} kB; {cut} usual clients cut off"),
            );
        }
        thread::sleep(Duration::from_millis(5));
    }
    world.finish(HELD, &format!("at most {peak} kB of private memory, the limit is {limit} kB"));
}
