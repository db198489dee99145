//! Requests that two receivers could interpret differently must be rejected, and size limits must
//! hold. The snapshots contain each request and the whole response.

use http::ServerConfig;
use std::fmt::Write;

mod common;
use common::{echo, send_and_read_all, start};

fn check_responses(name: &str, cases: &[(&str, String)]) {
    let config = ServerConfig {
        max_head_bytes: 512,
        max_body_bytes: 16,
        ..ServerConfig::default()
    };
    let server = start(config, echo);
    let mut text = String::new();
    for (name, request) in cases {
        let answer = send_and_read_all(server.address(), request.as_bytes());
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

fn post_request(fields: &str, body: &str) -> String {
    format!("POST / HTTP/1.1\r\nhost: a\r\n{fields}\r\n{body}")
}

#[test]
fn unclear_framing() {
    check_responses(
        "unclear_framing",
        &[
            (
                "length and transfer coding",
                post_request(
                    "content-length: 3\r\ntransfer-encoding: chunked\r\n",
                    "0\r\n\r\n",
                ),
            ),
            (
                "differing lengths",
                post_request("content-length: 3\r\ncontent-length: 4\r\n", "abcd"),
            ),
            (
                "signed length",
                post_request("content-length: +3\r\n", "abc"),
            ),
            (
                "list of lengths",
                post_request("content-length: 3, 3\r\n", "abc"),
            ),
            (
                "other coding",
                post_request("transfer-encoding: gzip\r\n", "abc"),
            ),
            (
                "two codings",
                post_request("transfer-encoding: gzip, chunked\r\n", "0\r\n\r\n"),
            ),
            (
                "coding in HTTP/1.0",
                "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(),
            ),
            (
                "chunk size without digits",
                post_request("transfer-encoding: chunked\r\n", "x\r\nabc\r\n0\r\n\r\n"),
            ),
            (
                "signed chunk size",
                post_request("transfer-encoding: chunked\r\n", "+3\r\nabc\r\n0\r\n\r\n"),
            ),
            (
                "chunk longer than its size",
                post_request("transfer-encoding: chunked\r\n", "3\r\nabcd\r\n0\r\n\r\n"),
            ),
        ],
    );
}

#[test]
fn malformed_heads() {
    check_responses(
        "malformed_heads",
        &[
            (
                "bare line feed",
                "GET / HTTP/1.1\nhost: a\r\n\r\n".to_owned(),
            ),
            ("bare carriage return", post_request("a: b\rc\r\n", "")),
            ("zero byte", post_request("a: b\0c\r\n", "")),
            ("folded line", post_request("a: b\r\n c\r\n", "")),
            (
                "space before colon",
                post_request("content-length : 3\r\n", "abc"),
            ),
            ("no host", "GET / HTTP/1.1\r\n\r\n".to_owned()),
            ("two hosts", post_request("host: b\r\n", "")),
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
    check_responses(
        "over_limits",
        &[
            (
                "long target",
                format!("GET /{} HTTP/1.1\r\n", "a".repeat(600)),
            ),
            ("many fields", format!("GET / HTTP/1.1\r\n{fields}\r\n")),
            ("declared body", post_request("content-length: 17\r\n", "")),
            (
                "declared length over u64",
                post_request("content-length: 99999999999999999999999\r\n", ""),
            ),
            (
                "chunked body",
                post_request("transfer-encoding: chunked\r\n", &chunks),
            ),
            (
                "chunk size over u64",
                post_request("transfer-encoding: chunked\r\n", "fffffffffffffffff\r\n"),
            ),
            (
                "long chunk extension",
                post_request(
                    "transfer-encoding: chunked\r\n",
                    &format!("1;{}\r\na\r\n0\r\n\r\n", "x".repeat(500)),
                ),
            ),
        ],
    );
}

#[test]
fn good_sessions() {
    check_responses(
        "good_sessions",
        &[
            (
                "pipelined",
                format!(
                    "{}{}GET /last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
                    post_request("content-length: 3\r\n", "abc"),
                    post_request(
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
                post_request(
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
