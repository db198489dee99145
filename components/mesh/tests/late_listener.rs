//! Guards connections to a process that starts to listen a moment after it is dialled: the opening
//! packet is lost then, and the system sends it again only after a second.

mod common;

use common::{KEY, PATIENCE, address, request, start_with, wait};
use mesh::{Channel, Limits, Mesh};
use socket2::{Domain, Socket, Type};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Time until the process listens.
const LATE: Duration = Duration::from_millis(150);
/// Connections that fill the queue of a listener without room, which then drops opening packets.
const FILLERS: usize = 3;
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// A port whose listener drops opening packets.
fn deaf_listener() -> (Socket, SocketAddr, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let fillers = (0..FILLERS)
        .filter_map(|_| TcpStream::connect_timeout(&address, FILL_TIMEOUT).ok())
        .collect();
    (socket, address, fillers)
}

#[test]
fn lost_opening_packet() {
    let (socket, target, fillers) = deaf_listener();
    let dialling = start_with(Limits::default());
    let answer = request(&dialling, target, b"hello".to_vec());
    thread::sleep(LATE);
    drop((socket, fillers));
    let late = Mesh::builder().key(KEY).listen(target).start().unwrap();
    assert_eq!(address(&late), target);
    late.set_handler(Channel::Call, |inbound| {
        let _ = inbound.reply.send(inbound.payload);
    });
    let reply = wait(&answer).expect("the first message arrives");
    assert_eq!(&reply[..], b"hello", "within {PATIENCE:?}");
}
