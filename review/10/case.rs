//! A client sends much at once and goes: 300 commands on one connection, which it closes 0.3 s later, while its
//! first command is being read.

#[path = "../lib-2/mod.rs"]
mod lib;

use lib::*;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// The commands behind the first one, of some 600 bytes each.
const FURTHER_COMMANDS: usize = 300;
/// The first command's prompt takes a reader 1 s.
const FIRST_PROMPT: u64 = 18_000;
const STAYS: f64 = 0.3;
/// An attempt that begins later than this after the close is a break; every limit is longer by 50 ms.
const ALLOWED: f64 = 0.1 + 0.05;

fn main() {
    let world = World::start(60);
    let nodos = [
        Nodo::start(&world, 1, Role::Reader, SPEED),
        Nodo::start(&world, 2, Role::Reader, SPEED),
        Nodo::start(&world, 3, Role::Writer, SPEED),
        Nodo::start(&world, 4, Role::Writer, SPEED),
    ];
    let entries: Vec<Entry> = nodos.iter().map(|nodo| Entry::of(nodo)).collect();
    let agent = Agent::start(&world, "agent", 41, entries.clone());
    let router = Router::start(&world, "n1", RouterSettings::new(list(41, true, &entries), agent.address));
    thread::sleep(Duration::from_millis(500));

    let mut bytes = request("command-0", "consulta", 5_000, FIRST_PROMPT, 96, 300);
    if world.trouble {
        for number in 1..=FURTHER_COMMANDS {
            bytes.extend(request(&format!("command-{number}"), "consulta", 5_000, 1_800, 96, 300));
        }
    }
    let mut stream = TcpStream::connect(router.address).unwrap();
    let _ = stream.set_nodelay(true);
    let _ = stream.set_nonblocking(true);
    let sent =
        world.note("sent", "client", "command-0", "bytes, with all commands behind it", bytes.len() as f64);
    let mut written = 0;
    while written < bytes.len() && world.now() < sent + STAYS {
        match stream.write(&bytes[written..]) {
            Ok(count) => written += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => thread::sleep(Duration::from_millis(1)),
            Err(error) => world.finish(NOT_RUN, &format!("the client could not write: {error}")),
        }
    }
    world.note("wrote", "client", "-", "bytes taken by the system", written as f64);
    world.sleep_until(sent + STAYS);
    drop(stream);
    let left = world.note("left", "client", "-", "the client has closed its connection", 0.0);
    thread::sleep(Duration::from_secs(6));

    let begun = world.events("begin");
    if begun.first().is_none_or(|event| event.at > left) {
        world.finish(NOT_RUN, "the first command had not begun before the close");
    }
    let late: Vec<String> = (begun.iter().filter(|event| event.at > left + ALLOWED))
        .map(|event| format!("{} at {} {:.2} s after the close", event.id, event.who, event.at - left))
        .collect();
    if late.is_empty() {
        world.finish(HELD, "no attempt began after the close");
    }
    world.finish(BROKEN, &format!("an attempt began: {}", late.join("; ")));
}
