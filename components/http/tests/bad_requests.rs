//! Guards against requests that two receivers could read differently, and against limits that are
//! not kept. Golden file: each request and the whole answer.

use http::ServerConfig;
use std::fmt::Write;

mod common;
use common::{converse, echo, start};

fn check(name: &str, cases: &[(&str, String)]) {
    let config = ServerConfig {
        max_head_bytes: 512,
        max_body_bytes: 16,
        ..ServerConfig::default()
    };
    let server = start(config, echo);
    let mut text = String::new();
    for (name, request) in cases {
        let answer = converse(server.address(), request.as_bytes());
        let shown = if request.len() > 600 {
            format!("{} bytes", request.len())
        } else {
            format!("{request:?}")
        };
        writeln!(text, "## {name}\n> {shown}\n{}", answer.replace('\r', "")).unwrap();
    }
    server.stop();
    insta::with_settings!({omit_expression => true}, {
        insta::assert_snapshot!(name, text);
    });
}

fn with(fields: &str, body: &str) -> String {
    format!("POST / HTTP/1.1\r\nhost: a\r\n{fields}\r\n{body}")
}

#[test]
fn unclear_framing() {
    check(
        "unclear_framing",
        &[
            (
                "length and transfer coding",
                with(
                    "content-length: 3\r\ntransfer-encoding: chunked\r\n",
                    "0\r\n\r\n",
                ),
            ),
            (
                "differing lengths",
                with("content-length: 3\r\ncontent-length: 4\r\n", "abcd"),
            ),
            ("signed length", with("content-length: +3\r\n", "abc")),
            ("list of lengths", with("content-length: 3, 3\r\n", "abc")),
            ("other coding", with("transfer-encoding: gzip\r\n", "abc")),
            (
                "two codings",
                with("transfer-encoding: gzip, chunked\r\n", "0\r\n\r\n"),
            ),
            (
                "coding in HTTP/1.0",
                "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(),
            ),
            (
                "chunk size without digits",
                with("transfer-encoding: chunked\r\n", "x\r\nabc\r\n0\r\n\r\n"),
            ),
            (
                "signed chunk size",
                with("transfer-encoding: chunked\r\n", "+3\r\nabc\r\n0\r\n\r\n"),
            ),
            (
                "chunk longer than its size",
                with("transfer-encoding: chunked\r\n", "3\r\nabcd\r\n0\r\n\r\n"),
            ),
        ],
    );
}

#[test]
fn malformed_heads() {
    check(
        "malformed_heads",
        &[
            (
                "bare line feed",
                "GET / HTTP/1.1\nhost: a\r\n\r\n".to_owned(),
            ),
            ("bare carriage return", with("a: b\rc\r\n", "")),
            ("zero byte", with("a: b\0c\r\n", "")),
            ("folded line", with("a: b\r\n c\r\n", "")),
            ("space before colon", with("content-length : 3\r\n", "abc")),
            ("no host", "GET / HTTP/1.1\r\n\r\n".to_owned()),
            ("two hosts", with("host: b\r\n", "")),
            (
                "another version",
                "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
            ),
            ("no version", "GET /\r\n\r\n".to_owned()),
            (
                "control character in the target",
                "GET /\u{7} HTTP/1.1\r\nhost: a\r\n\r\n".to_owned(),
            ),
        ],
    );
}

#[test]
fn over_limits() {
    let fields: String = (0..200).map(|n| format!("{n}:\r\n")).collect();
    let chunks = "8\r\n12345678\r\n".repeat(3) + "0\r\n\r\n";
    check(
        "over_limits",
        &[
            (
                "long target",
                format!("GET /{} HTTP/1.1\r\n", "a".repeat(600)),
            ),
            ("many fields", format!("GET / HTTP/1.1\r\n{fields}\r\n")),
            ("declared body", with("content-length: 17\r\n", "")),
            (
                "declared body beyond numbers",
                with("content-length: 99999999999999999999999\r\n", ""),
            ),
            (
                "chunked body",
                with("transfer-encoding: chunked\r\n", &chunks),
            ),
            (
                "chunk size beyond numbers",
                with("transfer-encoding: chunked\r\n", "fffffffffffffffff\r\n"),
            ),
            (
                "long chunk extension",
                with(
                    "transfer-encoding: chunked\r\n",
                    &format!("1;{}\r\na\r\n0\r\n\r\n", "x".repeat(500)),
                ),
            ),
        ],
    );
}

#[test]
fn good_sessions() {
    check(
        "good_sessions",
        &[
            (
                "pipelined",
                format!(
                    "{}{}GET /last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
                    with("content-length: 3\r\n", "abc"),
                    with(
                        "transfer-encoding: chunked\r\n",
                        "2;x=y\r\nde\r\n1\r\nf\r\n0\r\nt: u\r\n\r\n"
                    ),
                ),
            ),
            ("HTTP/1.0", "GET / HTTP/1.0\r\n\r\n".to_owned()),
            (
                "HTTP/1.0 kept alive",
                "GET /1 HTTP/1.0\r\nconnection: keep-alive\r\n\r\nGET /2 HTTP/1.0\r\n\r\n"
                    .to_owned(),
            ),
            (
                "equal lengths",
                with(
                    "content-length: 3\r\ncontent-length: 3\r\nconnection: close\r\n",
                    "abc",
                ),
            ),
            (
                "HEAD",
                "HEAD / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_owned(),
            ),
        ],
    );
}
