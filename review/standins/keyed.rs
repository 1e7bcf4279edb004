//! A request with an idempotency key. The nodo that gets it first runs it and answers 500, so it may have run.
//! With the disruption the zone of the other nodos is cut off for 6 s from then on. A repeat must reach a nodo
//! within the window for repeats, after which nodos no longer recognize it.

mod common;

use common::*;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `repeat_window_us`, as on the wire page.
const WINDOW: Duration = Duration::from_millis(5000);
/// Every time limit is longer by 50 ms.
const SLACK: Duration = Duration::from_millis(50);
/// The length of a partition on `split+mass`.
const CUT: Duration = Duration::from_millis(6000);
const REQUEST: &str = "5eed00000000c0de";

fn main() {
    let record = Recorder::new(&std::env::args().nth(1).expect("path of record.txt"));
    let code = run(&record).unwrap_or_else(|reason| {
        record.log(format!("could not run: {reason}"));
        COULD_NOT_RUN
    });
    record.write();
    std::process::exit(code);
}

fn run(record: &Arc<Recorder>) -> Result<i32, String> {
    let links: Arc<Mutex<Vec<(String, Link)>>> = Arc::default();
    let first_nodo: Arc<Mutex<Option<String>>> = Arc::default();
    let (plan_links, plan_first, plan_record) = (links.clone(), first_nodo.clone(), record.clone());
    let nodos = Nodos::new(record.clone(), Some(("multa".into(), WINDOW)), move |nodo, request| {
        let mut first = plan_first.lock().unwrap();
        let fails = request.id() == REQUEST && first.is_none();
        if fails {
            *first = Some(nodo.to_owned());
            if has_trouble() {
                let links = plan_links.lock().unwrap();
                for (name, link) in links.iter().filter(|(name, _)| name != nodo) {
                    link.set_cut(true);
                    plan_record.log(format!("network: {name} is cut off"));
                }
                drop(links);
                let (links, record) = (plan_links.clone(), plan_record.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(CUT);
                    record.log("network: the cut is over");
                    links.lock().unwrap().iter().for_each(|(_, link)| link.set_cut(false));
                });
            }
        }
        Work { fails, ..Work::ordinary(ms(100), ms(50), 20, ms(20)) }
    });
    let mut hosts = Vec::new();
    for name in ["mixto-1", "mixto-2", "mixto-3"] {
        let link = Link::to(nodos.start(name, Role::Both));
        hosts.push(Host { host: name.into(), dial: link.address, class: "mixto", health: "ready" });
        links.lock().unwrap().push((name.into(), link));
    }
    let known = list_json(40, true, &hosts);
    let agent = start_agent(record, known.clone());
    let class = |name, effect, objective_ms, give_up_ms, value| Class {
        name,
        effect,
        objective_ms,
        give_up_ms,
        repeat_window_ms: WINDOW.as_millis() as u64,
        value,
    };
    let settings = settings(
        &["mixto"],
        &["both"],
        &[
            class("consulta", "read_like", 1000, 5000, 1.0),
            class("multa", "idempotency_key", 3000, 15_000, 3.0),
        ],
    );
    let mut router = Router::start(record, agent, known, settings)?;

    // Ordinary traffic, which leaves idle connections to all nodos.
    for round in 0..4 {
        let threads: Vec<_> = (0..6)
            .map(|index| {
                let address = router.address;
                std::thread::spawn(move || {
                    let id = format!("aaaa{round:04}{index:08}");
                    let ask = Ask {
                        id: &id,
                        class: "consulta",
                        key: &id,
                        deadline_ms: 5000,
                        prompt_tokens: 800,
                        max_out: 80,
                    };
                    ask_once(address, &ask).status
                })
            })
            .collect();
        for thread in threads {
            if thread.join().ok() != Some(200) {
                record.log("note: an ordinary request was not served");
            }
        }
    }
    std::thread::sleep(ms(200));
    record.log(format!("client: sends {REQUEST} (15000 ms)"));
    let asked = Instant::now();
    let ask = Ask {
        id: REQUEST,
        class: "multa",
        key: REQUEST,
        deadline_ms: 15_000,
        prompt_tokens: 900,
        max_out: 80,
    };
    let answer = ask_once(router.address, &ask);
    record.log(format!(
        "client: {REQUEST} answered with status {}, whole: {}, after {:.3} s",
        answer.status,
        answer.is_whole,
        asked.elapsed().as_secs_f64()
    ));
    // What the network still holds arrives within the cut.
    while has_trouble() && asked.elapsed() < CUT + ms(1000) {
        std::thread::sleep(ms(50));
    }
    let sends: Vec<Send> = nodos.sends().into_iter().filter(|send| send.id == REQUEST).collect();
    let first = sends.first().ok_or("the request reached no nodo")?;
    let mut is_broken = false;
    for send in &sends[1..] {
        let after = send.arrived - first.arrived;
        let is_late = after > WINDOW + SLACK;
        is_broken |= is_late;
        record.log(format!(
            "{}summary: {} got {REQUEST} {:.3} s after {}: {}",
            if is_late { "BROKEN " } else { "" },
            send.nodo,
            after.as_secs_f64(),
            first.nodo,
            send.outcome
        ));
    }
    let applied = sends.iter().filter(|send| send.is_applied).count();
    record.log(format!("summary: the effect of {REQUEST} was applied {applied} time(s)"));
    if router.has_ended() {
        return Err("the router ended".into());
    }
    Ok(if is_broken { BROKEN } else { HELD })
}
