//! Discovery is slow after a new configuration: the new agent's answer with the whole list comes in pieces and
//! is complete after 1.5 s. One writer drains meanwhile, and ends once a conductor that was told has long left it.

#[path = "../lib-2/mod.rs"]
mod lib;

use lib::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// From the first to the last byte of the new agent's answer to `GET /v1/servers`.
const LIST_TAKES: f64 = 1.5;
/// What discovery has to tell counts as told this long after SIGHUP.
const TOLD_AFTER_SIGHUP: f64 = 4.0;
/// `drain_grace_us`, and the 50 ms by which every limit is longer.
const GRACE: f64 = 0.25 + 0.05;
const SIGHUP_AT: f64 = 2.0;
const DRAIN_AT: f64 = 3.0;
/// The drained writer's process ends: 3.7 s after the last moment at which new work may reach it.
const END_AT: f64 = 10.0;
const LAST_REQUEST_AT: f64 = 12.0;

fn send(world: &Arc<World>, address: std::net::SocketAddr, number: usize) {
    let (world, id) = (world.clone(), format!("r-{number}"));
    thread::spawn(move || {
        let Ok(mut stream) = TcpStream::connect(address) else { return };
        world.note("sent", "client", &id, "", 5.0);
        if stream.write_all(&request(&id, "consulta", 5_000, 1_800, 96, 200)).is_ok() {
            read_answer(&world, &mut Reader::new(&world, stream), &id);
        }
    });
}

fn main() {
    let world = World::start(60);
    let roles = [Role::Reader, Role::Reader, Role::Writer, Role::Writer, Role::Writer];
    let nodos: Vec<Arc<Nodo>> =
        roles.iter().enumerate().map(|(index, role)| Nodo::start(&world, index + 1, *role, SPEED)).collect();
    let entries: Vec<Entry> = nodos.iter().map(|nodo| Entry::of(nodo)).collect();
    let old = Agent::start(&world, "agent-a", 41, entries.clone());
    let new = Agent::start(&world, "agent-b", 41, entries.clone());
    let mut router = Router::start(&world, "n1", RouterSettings::new(list(41, true, &entries), old.address));
    if world.trouble {
        *new.list_takes.lock().unwrap() = LIST_TAKES;
    }
    let drained = nodos[4].clone();
    let script = {
        let (world, drained, mut entry) = (world.clone(), drained.clone(), entries[4].clone());
        let (old, new) = (old.clone(), new.clone());
        thread::spawn(move || {
            world.sleep_until(SIGHUP_AT);
            router.move_discovery(new.address);
            world.sleep_until(SIGHUP_AT + 1.0);
            entry.health = "draining";
            new.change(&world, &[entry]);
            world.sleep_until(SIGHUP_AT + 1.5);
            old.close();
            world.sleep_until(END_AT);
            world.note("end", &drained.name, "-", "requests in work", drained.running() as f64);
            drained.end();
            router
        })
    };
    let address = {
        // The router's address, from its record.
        let start = world.events("start").pop().unwrap();
        start.detail.trim_start_matches("listens on ").parse().unwrap()
    };
    let mut number = 0;
    while world.now() < LAST_REQUEST_AT {
        send(&world, address, number);
        number += 1;
        thread::sleep(Duration::from_millis(70));
    }
    let _router = script.join().unwrap();
    thread::sleep(Duration::from_secs(6));

    let told = world.events("signal")[0].at + TOLD_AFTER_SIGHUP;
    let late: Vec<Event> = (world.events("first").into_iter())
        .filter(|event| event.who == drained.name && event.at > told + GRACE)
        .collect();
    let cut = world.events("answer").iter().filter(|event| event.detail != "whole").count();
    let known = DRAIN_AT < told;
    if late.is_empty() || !known {
        world.finish(HELD, "nothing new reached the draining writer after it counted as told");
    }
    let last = late.last().unwrap();
    world.finish(
        BROKEN,
        &format!(
            "{} attempts were sent to {}, which drains, the last one {:.2} s after it counted as told; \
             {cut} streams were cut",
            late.len(),
            drained.name,
            last.at - told
        ),
    );
}
