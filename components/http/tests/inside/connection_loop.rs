//! Connections that keep the loop busy must neither escape their deadlines nor take more than their
//! turns.

use super::{ConnectionLoop, LoopHandle, MAX_EVENTS, run_with};
use crate::{
    Response, ServerConfig,
    connection::ServedConnection,
    reply_queue::ReplyQueue,
    server::{ConnectionPlace, Shared},
};
use errors::ErrorKind;
use mio::{Events, Poll};
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Longer than a refused caller may linger.
const AFTER_LINGER: Duration = Duration::from_millis(1_100);

/// Longest wait for a connection to be closed.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn shared() -> (Arc<Shared>, Poll) {
    let (handle, poll) = LoopHandle::new().unwrap();
    let handler = |_, _: &_| Response::new(200, "");
    let shared = Shared::new(ServerConfig::default(), handle, Box::new(handler));
    (shared, poll)
}

/// Both ends of a connection; the accepted one with its address and its replies.
fn accept(shared: &Shared, id: u64) -> (Arc<TcpStream>, SocketAddr, Arc<ReplyQueue>, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, peer) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let stream = Arc::new(stream);
    let memory = &shared.config.memory.replies;
    let (draining, handle) = (&shared.draining, &shared.connection_loop);
    let replies = ReplyQueue::new(&stream, draining, memory, handle, id);
    (stream, peer, replies, caller)
}

/// A connection that discards what it reads, and the caller's side of it.
fn refused(shared: &Arc<Shared>, id: u64) -> (ServedConnection, TcpStream) {
    let (stream, peer, replies, caller) = accept(shared, id);
    let place = ConnectionPlace::refused(shared, id);
    let kind = ErrorKind::TooManyConnections;
    let served = ServedConnection::refused(&stream, peer, replies, place, kind);
    (served, caller)
}

/// A loop that reads few bytes at once, with a refused connection whose caller has sent many.
fn loop_with_fast_sender(id: u64) -> (ConnectionLoop, TcpStream) {
    let (shared, poll) = shared();
    let (connection, mut caller) = refused(&shared, id);
    caller.write_all(&[b'x'; 32 * 1024]).unwrap();
    let mut connection_loop = ConnectionLoop::new(shared, poll);
    connection_loop.scratch = vec![0; 4];
    connection_loop.add(connection);
    (connection_loop, caller)
}

/// A connection that always has more bytes to read was not checked against any deadline.
#[test]
fn deadline_of_fast_sender() {
    let (mut connection_loop, _caller) = loop_with_fast_sender(1);
    assert_eq!(connection_loop.entries.len(), 1);
    thread::sleep(AFTER_LINGER);
    connection_loop.turn(&mut Events::with_capacity(MAX_EVENTS));
    assert!(connection_loop.entries.is_empty(), "it is not closed");
}

/// A fast sender had several turns in each round of the loop, one for each event that had found more
/// bytes than are read in one turn.
#[test]
fn one_turn_for_each_connection() {
    let (mut connection_loop, _caller) = loop_with_fast_sender(1);
    for _ in 0..3 {
        connection_loop.advance(1);
    }
    assert_eq!(connection_loop.unfinished.len(), 1);
}

/// The checks of connections that had ended were kept until their time, for up to the idle timeout.
#[test]
fn checks_of_ended_connections() {
    let (shared, poll) = shared();
    let mut connection_loop = ConnectionLoop::new(Arc::clone(&shared), poll);
    for id in 1..=8 {
        let (connection, _caller) = refused(&shared, id);
        connection_loop.add(connection);
        assert_eq!(connection_loop.checks.len(), 1);
        connection_loop.remove(id);
    }
    assert_eq!(connection_loop.checks.len(), 0);
}

/// After a failure of the loop, callers waited without end for connections that were still accepted.
#[test]
fn connections_after_loop_failure() {
    let (shared, poll) = shared();
    let add = |id| {
        let (stream, peer, replies, caller) = accept(&shared, id);
        let place = ConnectionPlace::served(&shared, id);
        let served = ServedConnection::new(&shared, &stream, peer, replies, place);
        shared.connection_loop.add(served);
        caller.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        caller
    };
    let before = add(1);
    // Polling for no events is an error on Linux.
    run_with(Arc::clone(&shared), poll, Events::with_capacity(0));
    let after = add(2);
    for mut caller in [before, after] {
        assert_eq!(caller.read(&mut [0]).unwrap(), 0);
    }
}
