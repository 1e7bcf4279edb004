//! Bad clients send half a request each, some hundreds at once. The platform kills a router that is over its
//! memory limit, and the requests that it had taken are lost with it.

mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

/// The least of the limits that the terms name, and the most descriptors.
const MEMORY_MB: u64 = 32;
/// Bad and usual clients together stay under a third of the 1,024 descriptors.
const BAD_CLIENTS: usize = 325;
const USUAL_CLIENTS: usize = 10;
/// The bytes of the body that a bad client sends, and those that its head announces.
const SENT: usize = 33_000;
const ANNOUNCED: usize = 60_000;

fn main() {
    let record = Recorder::new(&std::env::args().nth(1).expect("path of record.txt"));
    let code = run(&record).unwrap_or_else(|reason| {
        record.log(format!("could not run: {reason}"));
        COULD_NOT_RUN
    });
    record.write();
    std::process::exit(code);
}

/// The private memory of a process, in kB. Pages of its program file don't count here.
fn private_memory_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().split(' ').next()?.parse().ok()
}

fn run(record: &Arc<Recorder>) -> Result<i32, String> {
    let nodos = Nodos::new(record.clone(), None, |_, _| Work::ordinary(ms(100), ms(100), 100, ms(80)));
    let mut hosts = Vec::new();
    for (name, class, role) in [
        ("lectura-1", "lectura", Role::Reader),
        ("lectura-2", "lectura", Role::Reader),
        ("respuesta-1", "respuesta", Role::Writer),
        ("respuesta-2", "respuesta", Role::Writer),
    ] {
        hosts.push(Host { host: name.into(), dial: nodos.start(name, role), class, health: "ready" });
    }
    let known = list_json(40, true, &hosts);
    let agent = start_agent(record, known.clone());
    let class = |name, objective_ms, give_up_ms, value| Class {
        name,
        effect: "read_like",
        objective_ms,
        give_up_ms,
        repeat_window_ms: 5000,
        value,
    };
    let settings = settings(
        &["lectura", "respuesta"],
        &["read", "write"],
        &[class("consulta", 1000, 5000, 1.0), class("multa", 3000, 15_000, 3.0)],
    );
    let mut router =
        Router::start_with(record, agent, known, settings, Limits { memory_mb: MEMORY_MB, sockets: 1024 })?;
    let (pid, address) = (router.pid(), router.address);

    // The platform.
    let (is_killed, is_over, peak) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let (killed, over, highest, platform_record) =
        (is_killed.clone(), is_over.clone(), peak.clone(), record.clone());
    let platform = std::thread::spawn(move || {
        while !over.load(Ordering::SeqCst) {
            let used = private_memory_kb(pid).unwrap_or(0);
            highest.fetch_max(used, Ordering::SeqCst);
            if used > MEMORY_MB * 1024 {
                platform_record.log(format!(
                    "BROKEN platform: the router uses {used} kB of private memory, its limit is {} kB: killed",
                    MEMORY_MB * 1024
                ));
                killed.store(true, Ordering::SeqCst);
                let _ = std::process::Command::new("kill").args(["-KILL", &pid.to_string()]).status();
                return;
            }
            std::thread::sleep(ms(10));
        }
    });

    // Usual clients.
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|index| {
            let record = record.clone();
            std::thread::spawn(move || {
                std::thread::sleep(ms(100 * index as u64));
                let id = format!("cccc{index:012}");
                let ask = Ask {
                    id: &id,
                    class: "multa",
                    key: &id,
                    deadline_ms: 15_000,
                    prompt_tokens: 3000,
                    max_out: 200,
                };
                let answer = ask_once(address, &ask);
                let result = match (answer.status, answer.is_whole) {
                    (0, _) => "LOST: the connection ended without an answer",
                    (200, false) => "LOST: its stream was cut off",
                    _ => "answered",
                };
                record.log(format!("usual client: {id} status {}: {result}", answer.status));
            })
        })
        .collect();
    std::thread::sleep(ms(1500));

    // Bad clients: half a request, and a close.
    if has_trouble() {
        for wave in 0..3 {
            record.log(format!("bad clients: {BAD_CLIENTS} send {SENT} of {ANNOUNCED} bytes of a body"));
            let started = Instant::now();
            let bad: Vec<_> = (0..BAD_CLIENTS)
                .map(|index| {
                    std::thread::spawn(move || {
                        let mut stream = TcpStream::connect(address).ok()?;
                        stream.set_read_timeout(Some(ms(2000))).ok()?;
                        let head = format!(
                            "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\n\
                             X-Request-Id: bad-{wave}-{index}\r\nX-Class: consulta\r\nX-Deadline: 5000m\r\n\
                             Content-Length: {ANNOUNCED}\r\n\r\n"
                        );
                        stream.write_all(head.as_bytes()).ok()?;
                        stream.write_all(&vec![b'x'; SENT]).ok()?;
                        Some(read_answer(&mut BufReader::new(stream)).status)
                    })
                })
                .collect();
            let statuses: Vec<u16> =
                bad.into_iter().filter_map(|thread| thread.join().ok().flatten()).collect();
            let refused = statuses.iter().filter(|status| **status >= 400).count();
            record.log(format!(
                "bad clients: {refused} of {BAD_CLIENTS} got an error, the others closed, {:.3} s after the wave began",
                started.elapsed().as_secs_f64()
            ));
            if is_killed.load(Ordering::SeqCst) {
                break;
            }
        }
    }
    for thread in usual {
        let _ = thread.join();
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = platform.join();
    record.log(format!("summary: at most {} kB of private memory seen", peak.load(Ordering::SeqCst)));
    if is_killed.load(Ordering::SeqCst) {
        return Ok(BROKEN);
    }
    if router.has_ended() {
        record.log("BROKEN router: ended by itself");
        return Ok(BROKEN);
    }
    Ok(HELD)
}
