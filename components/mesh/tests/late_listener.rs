//! Guards connections to a process that starts to listen shortly after it is dialled. The first SYN
//! packet is lost then, and the operating system would resend it only after a second.

mod common;

use common::{KEY, TEST_TIMEOUT, address, request, start_with, wait};
use mesh::{Channel, Limits, Mesh};
use socket2::{Domain, Socket, Type};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Time after the request until the process listens.
const LISTEN_DELAY: Duration = Duration::from_millis(150);
/// Connections that fill the backlog of a listener, which then drops SYN packets.
const FILLER_CONNECTIONS: usize = 3;
const FILLER_TIMEOUT: Duration = Duration::from_millis(50);

/// Creates a listener whose backlog is full, so that it drops SYN packets.
fn full_listener() -> (Socket, SocketAddr, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let fillers = (0..FILLER_CONNECTIONS)
        .filter_map(|_| TcpStream::connect_timeout(&address, FILLER_TIMEOUT).ok())
        .collect();
    (socket, address, fillers)
}

#[test]
fn lost_syn_is_resent() {
    let (socket, target, fillers) = full_listener();
    let dialling = start_with(Limits::default());
    let answer = request(&dialling, target, b"hello".to_vec());
    thread::sleep(LISTEN_DELAY);
    drop((socket, fillers));
    let listener = Mesh::builder().key(KEY).listen(target).start().unwrap();
    assert_eq!(address(&listener), target);
    listener.set_handler(Channel::Call, |inbound| {
        let _ = inbound.reply.send(inbound.payload);
    });
    let reply = wait(&answer).expect("the first message arrives");
    assert_eq!(&reply[..], b"hello", "within {TEST_TIMEOUT:?}");
}
