//! Hop-by-hop headers must not be forwarded.

use http::{Headers, strip_hop_by_hop};

#[test]
fn hop_by_hop_headers_removed() {
    let mut headers: Headers = [
        ("Host", "lending"),
        ("Connection", "close, X-Internal"),
        ("connection", "host"),
        ("X-Internal", "1"),
        ("Keep-Alive", "timeout=5"),
        ("TE", "trailers"),
        ("Trailer", "x"),
        ("Transfer-Encoding", "chunked"),
        ("Upgrade", "h2c"),
        ("Proxy-Connection", "keep-alive"),
        ("Content-Type", "text/plain"),
        ("content-type", "kept twice"),
    ]
    .into_iter()
    .collect();
    strip_hop_by_hop(&mut headers);
    let left: Vec<_> = headers.iter().collect();
    assert_eq!(
        left,
        [
            ("Host", "lending"),
            ("Content-Type", "text/plain"),
            ("content-type", "kept twice"),
        ]
    );
}
