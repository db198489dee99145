//! Many requests that wait for memory together must not close a connection each at every try.

use super::{MIN_BODY_STALL, QueueRegistration, ReplyMemory};
use crate::{connection_loop::LoopHandle, reply_queue::ReplyQueue, request_body::MEMORY_CHECK};
use std::{
    net::{Ipv4Addr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Instant,
};

const BODIES: u64 = 20;

/// A connection that holds memory for a body that is not whole.
fn add_body(memory: &Arc<ReplyMemory>, id: u64) -> (Arc<ReplyQueue>, QueueRegistration) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let stream = Arc::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
    let (handle, _) = LoopHandle::new().unwrap();
    let replies = ReplyQueue::new(&stream, &Arc::default(), memory, &Arc::new(handle), id);
    replies.set_reading(true);
    replies.set_reading_body();
    replies.set_body_unfinished(true);
    let registration = memory.register(Ipv4Addr::LOCALHOST.into(), &replies);
    (replies, registration)
}

/// Each of the waiting requests closed a connection at each try.
#[test]
fn one_victim_for_each_interval() {
    let memory = Arc::new(ReplyMemory::new(0));
    let bodies: Vec<_> = (1..=BODIES).map(|id| add_body(&memory, id)).collect();
    let (requester, _) = &bodies[0];
    thread::sleep(MIN_BODY_STALL);
    let start = Instant::now();
    for _ in 0..BODIES {
        memory.close_stalled_body(requester);
    }
    let intervals = start.elapsed().div_duration_f64(MEMORY_CHECK) as u64;
    let closed = memory.closed_bodies();
    assert!((1..=intervals + 1).contains(&closed), "{closed} closed");
    // The oldest one is spared, because it belongs to the requester.
    assert!(requester.unfinished_body_since().is_some());
}
