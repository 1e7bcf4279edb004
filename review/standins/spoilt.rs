//! Some streams arrive spoilt: a chunk in the middle has a size that does not fit, 0 in place of its length. The
//! rest of the stream follows. Such a stream has failed: its client's connection must end without the last chunk.

mod common;

use common::*;
use std::sync::Arc;

const REQUESTS: usize = 12;

fn main() {
    let record = Recorder::new(&std::env::args().nth(1).expect("path of record.txt"));
    let code = run(&record).unwrap_or_else(|reason| {
        record.log(format!("could not run: {reason}"));
        COULD_NOT_RUN
    });
    record.write();
    std::process::exit(code);
}

/// Whether the nodos spoil the stream of this request.
fn is_spoilt(id: &str) -> bool {
    has_trouble() && id.ends_with(['3', '7', 'b'])
}

fn run(record: &Arc<Recorder>) -> Result<i32, String> {
    let nodos = Nodos::new(record.clone(), None, |_, request| Work {
        spoilt_at: is_spoilt(&request.id()).then_some(10),
        ..Work::ordinary(ms(100), ms(100), 40, ms(50))
    });
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
    let mut router = Router::start(record, agent, known, settings)?;
    let address = router.address;
    let clients: Vec<_> = (0..REQUESTS)
        .map(|index| {
            let record = record.clone();
            std::thread::spawn(move || {
                std::thread::sleep(ms(150 * index as u64));
                let id = format!("dddd00000000000{index:x}");
                let ask = Ask { id: &id, class: "consulta", key: &id, deadline_ms: 5000, prompt_tokens: 400, max_out: 80 };
                let answer = ask_once(address, &ask);
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let events = text.matches("\"content\"").count();
                let has_all = events == 40 && text.ends_with("data: [DONE]\n\n");
                let is_broken = answer.status == 200 && answer.is_whole && !has_all;
                let mark = if is_broken { "BROKEN " } else { "" };
                record.log(format!(
                    "{mark}client: {id} status {}, {events} of 40 tokens, [DONE]: {}, ended with the last chunk: {}{}",
                    answer.status,
                    text.contains("[DONE]"),
                    answer.is_whole,
                    if is_spoilt(&id) { " (its stream was spoilt)" } else { "" }
                ));
                is_broken
            })
        })
        .collect();
    let broken = clients.into_iter().filter_map(|client| client.join().ok()).filter(|broken| *broken).count();
    record.log(format!("summary: {broken} streams that were not whole ended with the last chunk"));
    if router.has_ended() {
        return Err("the router ended".into());
    }
    Ok(if broken > 0 { BROKEN } else { HELD })
}
