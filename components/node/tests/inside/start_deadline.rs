//! Guards against calls that a starting node holds beyond the deadline that their callers gave.

use crate::test_node::start_node_with;
use settings::NodeFlags;
use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

/// Half of the time for which the node holds calls, and more than a slow machine needs.
const ANSWER_TIME: Duration = Duration::from_secs(30);

#[test]
fn not_held_beyond_deadline() {
    let node = start_node_with(NodeFlags {
        require_configuration: Some("true".to_owned()),
        start_wait_ms: Some("60000".to_owned()),
        stop_timeout_ms: Some("0".to_owned()),
        ..NodeFlags::default()
    });
    let address = node.kernel().listen_address("entry").unwrap();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(ANSWER_TIME)).unwrap();
    let head = "GET / HTTP/1.1\r\nhost: shop.example\r\nx-gyard-deadline-ms: 100\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let mut status = [0; 12];
    stream.read_exact(&mut status).expect("the call is held");
    assert_eq!(&status, b"HTTP/1.1 503");
}
