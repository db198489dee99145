//! Responses that another thread than the connection's own sends.

use crate::{Request, Response, message::encode_response};
use socket2::SockRef;
use std::{
    net::TcpStream,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

/// `MSG_DONTWAIT | MSG_NOSIGNAL` of Linux: neither block nor raise SIGPIPE.
const SEND_FLAGS: i32 = 0x40 | 0x4000;

#[derive(Debug)]
enum State {
    /// Nothing was sent yet.
    Open,
    /// The response was sent but for the rest, which the connection's thread writes.
    Sent { rest: Vec<u8>, close: bool },
    /// The connection's thread took over; too late for an early response.
    Over,
}

#[derive(Debug)]
struct Shared {
    stream: Arc<TcpStream>,
    state: Mutex<State>,
    stopping: Arc<AtomicBool>,
    keep_alive: bool,
    is_head: bool,
}

/// Sends the response to one request at once from any thread, without blocking it. This saves
/// the wake-up of the connection's thread, which is a large part of a short call's latency.
#[derive(Clone, Debug)]
pub struct EarlyReply(Arc<Shared>);

impl EarlyReply {
    pub(crate) fn new(
        stream: &Arc<TcpStream>,
        stopping: &Arc<AtomicBool>,
        request: &Request,
        keep_alive: bool,
    ) -> Self {
        EarlyReply(Arc::new(Shared {
            stream: Arc::clone(stream),
            state: Mutex::new(State::Open),
            stopping: Arc::clone(stopping),
            keep_alive,
            is_head: request.method == "HEAD",
        }))
    }

    /// Sends the response; what the socket does not take at once is left to the connection's
    /// thread. False if the request was answered already; the response is then dropped.
    pub fn send(&self, response: &Response) -> bool {
        let mut state = self.state();
        if !matches!(*state, State::Open) {
            return false;
        }
        let close = !self.0.keep_alive
            || self.0.stopping.load(Ordering::Acquire)
            || response.headers.has_token("connection", "close");
        let mut out = Vec::new();
        encode_response(&mut out, response, self.0.is_head, close);
        // An error shows again when the connection's thread writes the rest.
        let sent = SockRef::from(&*self.0.stream)
            .send_with_flags(&out, SEND_FLAGS)
            .unwrap_or(0);
        out.drain(..sent);
        *state = State::Sent { rest: out, close };
        true
    }

    /// Ends the time for early responses; the rest of one that was sent, and whether to close.
    pub(crate) fn finish(&self) -> Option<(Vec<u8>, bool)> {
        match std::mem::replace(&mut *self.state(), State::Over) {
            State::Sent { rest, close } => Some((rest, close)),
            State::Open | State::Over => None,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
