//! Tests of the HAProxy importer through the program's command line.

mod support;

use rstest::rstest;
use std::process::{Command, Output};
use support::*;

fn import(text: &str) -> Output {
    static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("haproxy-{}-{number}.cfg", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let output =
        Command::new(env!("CARGO_BIN_EXE_llm-router")).args(["import", "haproxy"]).arg(&file).output();
    std::fs::remove_file(&file).unwrap();
    output.unwrap()
}

/// Guards against an imported configuration that the router cannot serve from, and against omissions that are
/// not reported.
#[test]
fn router_serves_from_the_imported_file() {
    let worker = Peer::start(|message, conn| {
        if message.start_line.starts_with("POST") {
            conn.begin_stream();
            conn.send_delta("one");
            conn.end_stream();
        } else {
            conn.respond("204 No Content", "", "");
        }
        true
    });
    let (listen, refused) = (Peer::unbound_address(), Peer::refusing_address());
    let text = format!(
        "# a comment\nglobal\n    maxconn 500\n    daemon\n\n\
         defaults\n    mode http\n    timeout connect 150ms\n    timeout server 1m\n    \
         timeout client 30s\n    retries 5\n\n\
         frontend \"in\"\n    bind {listen}\n    default_backend models\n    \
         use_backend other if {{ path /x }}\n\n\
         backend models\n    balance leastconn\n    server a {} check weight 20\n    \
         server off {refused} disabled\n\n\
         backend other\n    server x {refused}\n",
        worker.address,
    );
    let output = import(&text);
    let (file, report) =
        (String::from_utf8(output.stdout).unwrap(), String::from_utf8(output.stderr).unwrap());
    assert!(output.status.success(), "{report}");
    for omitted in ["line 4", "line 10", "line 16", "line 19", "line 20", "line 23"] {
        let is_reported = report.contains(omitted) && file.contains(&format!("# {omitted},"));
        assert!(is_reported, "{omitted}: {report}\n{file}");
    }
    for imported in [
        "connect_timeout_us = 150000",
        "give_up_us = 60000000",
        "max_attempts = 6",
        "share = 20.0",
        "sockets = 1064",
    ] {
        assert!(file.contains(imported), "{imported}: {file}");
    }
    let router = RouterProcess::start(&file);
    assert_eq!(router.address, listen);
    let response = router.request("id-1", "default");
    assert!(response.status() == 200 && response.is_complete, "{response:?}");
}

/// Guards against a default memory limit that leaves an imported router fewer connections than it is to have.
#[test]
fn the_memory_limit_has_room_for_the_imported_connections() {
    let text = "global\n  maxconn 20000\nlisten a\n  bind 127.0.0.1:1\n  server s 127.0.0.1:2\n";
    let file = String::from_utf8(import(text).stdout).unwrap();
    assert!(file.contains("memory_mb = 1252\nsockets = 40064\n"), "{file}");
}

#[rstest]
#[case::directive_outside_a_section("maxconn 5\n", "line 1")]
#[case::unterminated_quote("global\n  log \"x\n", "line 2")]
#[case::unknown_time_unit("defaults\n  timeout server 5parsecs\n", "line 2")]
#[case::time_overflow("defaults\n  timeout server 99999999999999d\n", "line 2")]
#[case::port_out_of_range("listen a\n  bind 127.0.0.1:99999\n", "line 2")]
#[case::missing_port("listen a\n  bind 127.0.0.1\n", "line 2")]
#[case::server_without_address("listen a\n  bind 127.0.0.1:1\n  server s\n", "line 3")]
#[case::weight_without_value("listen a\n  bind 127.0.0.1:1\n  server s 127.0.0.1:2 weight\n", "line 3")]
#[case::duplicate_backend("backend a\nbackend a\n", "line 2")]
#[case::unknown_backend("frontend a\n  bind 127.0.0.1:1\n  default_backend b\n", "line 3")]
#[case::frontend_without_name("frontend\n", "line 1")]
#[case::unknown_defaults_section("listen a from d\n", "line 1")]
#[case::listen_without_servers("listen a\n  bind 127.0.0.1:1\n", "line 3")]
#[case::empty_file("", "line 1")]
fn malformed_input_fails_with_its_line(#[case] text: &str, #[case] line: &str) {
    let output = import(text);
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && output.stdout.is_empty());
    assert!(error.lines().count() == 1 && error.contains(&format!("{line}:")), "{error}");
}

#[test]
fn router_starts_from_the_operators_file_in_deploy() {
    let text = include_str!("../deploy/operator.toml").replace("127.0.0.1:8080", "127.0.0.1:0");
    let router = RouterProcess::start(&text);
    assert_eq!(router.rpc("[]").status(), 400);
}
