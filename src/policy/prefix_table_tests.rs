//! Unit tests of `prefix_table`.

use super::*;
use crate::interface::RequestId;

const SECOND: Micros = 1_000_000;

fn request(number: usize) -> RequestSpec {
    RequestSpec {
        request: RequestId(number as u64),
        deadline: 0,
        session: Some(format!("session {number}").into()),
        prefix: Some(format!("prefix {number}").into()),
        prefix_tokens: 10,
        prompt_tokens: 20,
        max_tokens: 1,
        expected_decode_time: None,
        class: "safe".to_owned(),
        tenant: None,
    }
}

fn worker(number: usize) -> WorkerId {
    WorkerId(format!("worker {}", number % 3).into())
}

/// The entries and the tokens of all workers, from the totals and from the maps.
fn totals(table: &PrefixTable) -> [(usize, u64); 2] {
    let holders = || table.prefixes.values().flat_map(HashMap::values);
    let counted = table.totals.values().map(|totals| totals.entries).sum();
    let tokens = table.totals.values().map(|totals| totals.prefix_tokens).sum();
    assert_eq!(table.entries, counted);
    [(counted, tokens), (holders().count() + table.sessions.len(), holders().map(|held| held.tokens).sum())]
}

/// Guards against memory that grows with each new name that clients send.
#[test]
fn ever_new_names_are_limited_and_the_newest_are_kept() {
    let mut table = PrefixTable::default();
    for number in 0..3 * MAX_ENTRIES {
        table.record(&request(number), &worker(number), number as Micros);
        assert!(table.entries <= MAX_ENTRIES);
    }
    let [counted, found] = totals(&table);
    assert_eq!(counted, found);
    for number in 3 * MAX_ENTRIES - MAX_ENTRIES / 8..3 * MAX_ENTRIES {
        assert_eq!(table.cached_prompt(&request(number), SECOND).tokens_at(&worker(number)), 20.0);
    }
}

#[test]
fn totals_follow_replaced_expired_and_removed_entries() {
    let mut table = PrefixTable::default();
    for number in 0..10 {
        table.record(&request(number), &worker(number), number as Micros * SECOND);
        table.record(&request(number), &worker(number + 1), number as Micros * SECOND);
    }
    let [counted, found] = totals(&table);
    assert_eq!((counted, found), ((30, 200), (30, 200)));
    table.expire(PREFIX_LIFETIME + 5 * SECOND);
    let [counted, found] = totals(&table);
    assert_eq!((counted, found), ((15, 100), (15, 100)));
    table.remove_workers(&HashSet::from([worker(0)]));
    let [counted, found] = totals(&table);
    assert_eq!(counted, found);
    assert!(!table.has_entries(&worker(0)));
    table.expire(2 * PREFIX_LIFETIME);
    assert_eq!(totals(&table), [(0, 0), (0, 0)]);
}
