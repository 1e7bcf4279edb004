//! Four requests on one connection. With the disruption the client sends them at once, without it each one
//! after the answer before it. Each must have its final answer half a second after its time at the latest.

mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Half a second after its time, and the 50 ms by which every time limit is longer.
const ALLOWANCE: Duration = Duration::from_millis(550);

fn main() {
    let record = Recorder::new(&std::env::args().nth(1).expect("path of record.txt"));
    let code = run(&record).unwrap_or_else(|reason| {
        record.log(format!("could not run: {reason}"));
        COULD_NOT_RUN
    });
    record.write();
    std::process::exit(code);
}

fn run(record: &std::sync::Arc<Recorder>) -> Result<i32, String> {
    // Readers read 12,000 prompt tokens a second; a first token takes 0.2 s and each further one 50 ms.
    let nodos = Nodos::new(record.clone(), None, |_, request| {
        let prompt = request.extra("prompt_len").unwrap_or(0);
        let tokens = if request.header("x-class") == Some("consulta") { 40 } else { 50 };
        Work {
            read: Duration::from_micros(prompt * 1_000_000 / 12_000),
            first_token: ms(200),
            tokens,
            token: ms(50),
            fails: false,
        }
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
    let agent = Agent::start("A", record, 40, hosts.clone());
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
        &[class("consulta", 1000, 5000, 1.0), class("multa", 3000, 7500, 3.0)],
    );
    let mut router = Router::start(record, agent.address, list_json(40, true, &hosts), settings)?;

    // Three short questions, then one with a prompt many times longer than usual.
    let asks: Vec<Ask> = [
        ("consulta", "c0ffee0000000001", 5000, 1200),
        ("consulta", "c0ffee0000000002", 5000, 1200),
        ("consulta", "c0ffee0000000003", 5000, 1200),
        ("multa", "c0ffee0000000004", 7500, 24_000),
    ]
    .into_iter()
    .map(|(class, id, deadline_ms, prompt_tokens)| Ask {
        id,
        class,
        key: id,
        deadline_ms,
        prompt_tokens,
        max_out: 100,
    })
    .collect();
    let mut stream = TcpStream::connect(router.address).map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    stream.set_read_timeout(Some(ms(20_000))).map_err(|e| e.to_string())?;
    let mut reader = BufReader::new(stream.try_clone().map_err(|e| e.to_string())?);
    let mut sent_at = Vec::new();
    if has_trouble() {
        for ask in &asks {
            stream.write_all(&ask.bytes()).map_err(|e| e.to_string())?;
            sent_at.push(Instant::now());
            record.log(format!("client: sent {} ({} ms)", ask.id, ask.deadline_ms));
        }
    }
    let mut is_broken = false;
    for (index, ask) in asks.iter().enumerate() {
        if !has_trouble() {
            stream.write_all(&ask.bytes()).map_err(|e| e.to_string())?;
            sent_at.push(Instant::now());
            record.log(format!("client: sent {} ({} ms)", ask.id, ask.deadline_ms));
        }
        let answer = read_answer(&mut reader);
        let Some(final_at) = answer.final_at else {
            record.log(format!("BROKEN client: {} has no final answer", ask.id));
            is_broken = true;
            break;
        };
        let time = ms(ask.deadline_ms);
        let took = final_at - sent_at[index];
        let is_late = took > time + ALLOWANCE;
        is_broken |= is_late;
        let mark = if is_late { "BROKEN " } else { "" };
        record.log_at(
            final_at,
            format!(
                "{mark}client: {} has its final answer, status {}, {:.3} s after it was sent (time: {:.3} s)",
                ask.id,
                answer.status,
                took.as_secs_f64(),
                time.as_secs_f64()
            ),
        );
    }
    // What the nodos were told, beside what was left.
    for send in nodos.sends() {
        let Some(index) = asks.iter().position(|ask| ask.id == send.id) else { continue };
        let left = ms(asks[index].deadline_ms).as_secs_f64() - (send.arrived - sent_at[index]).as_secs_f64();
        record.log(format!(
            "summary: {} at {}: told {:.3} s, left to the client {left:.3} s",
            send.id,
            send.nodo,
            send.told.as_secs_f64()
        ));
    }
    if router.has_ended() {
        return Err("the router ended".into());
    }
    Ok(if is_broken { BROKEN } else { HELD })
}
