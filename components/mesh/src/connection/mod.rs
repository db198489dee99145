//! One authenticated connection: queued writes, pending requests and received frames.

mod outgoing;
mod read;
mod state;
mod timers;
mod write;

pub(crate) use self::{
    outgoing::{Outgoing, Purpose},
    read::{ReadStatus, ReceiveState},
    state::DueCallbacks,
    timers::TimerCheck,
};
use crate::{
    FrameKind, SendError,
    handshake::Session,
    inner::Inner,
    send_queue::{Message, SendQueue},
};
use model::NodeId;
use state::State;
use std::{
    io,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU64},
};

/// An open connection to a peer, shared by all threads of the transport.
pub(crate) struct Connection {
    pub(crate) id: u64,
    pub(crate) peer: NodeId,
    /// Address that was dialled; `None` if the peer dialled.
    pub(crate) dialled: Option<SocketAddr>,
    stream: TcpStream,
    receive_key: [u8; 32],
    state: Mutex<State>,
    last_inbound_us: AtomicU64,
}

impl Connection {
    pub(crate) fn new(
        inner: &Inner,
        id: u64,
        dialled: Option<SocketAddr>,
        stream: TcpStream,
        session: &Session,
    ) -> io::Result<Self> {
        let limits = &inner.limits;
        stream.set_nonblocking(true)?;
        #[cfg(target_os = "linux")]
        write::set_user_timeout(&stream, limits.write_timeout_ms)?;
        let send_queue = SendQueue::new(session.send_key, limits.max_queued_bytes);
        Ok(Connection {
            id,
            peer: session.peer,
            dialled,
            stream,
            receive_key: session.receive_key,
            state: Mutex::new(State::new(send_queue, inner.now_us())),
            last_inbound_us: AtomicU64::new(inner.now_us()),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes that wait to be written; none once the connection is closed.
    pub(crate) fn queued_bytes(&self) -> usize {
        let state = self.state();
        if state.is_closed {
            return 0;
        }
        state.send_queue.queued_bytes()
    }

    /// Queues a message and writes it, unless another thread is writing the queue. Never blocks.
    pub(crate) fn submit(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        outgoing: Outgoing,
    ) -> Result<(), (Outgoing, SendError)> {
        let mut state = self.state();
        if state.is_closed {
            return Err((outgoing, SendError::Closed));
        }
        let now_us = inner.now_us();
        let Outgoing {
            channel,
            payload,
            purpose,
        } = outgoing;
        let (kind, id) = state.frame_kind(&purpose);
        let message = Message {
            kind,
            channel,
            id,
            payload,
        };
        if let Err((message, error)) = state.send_queue.push(message) {
            let outgoing = Outgoing {
                channel,
                payload: message.payload,
                purpose,
            };
            return Err((outgoing, error));
        }
        state.last_sent_us = now_us;
        let ping_us = now_us + inner.limits.ping_after_ms * 1_000;
        if let Some(check_us) = state.track(now_us, ping_us, (channel, id), purpose) {
            inner.timer.wake_at(check_us);
        }
        self.write_queued(inner, state);
        Ok(())
    }

    fn send_heartbeat(self: &Arc<Self>, inner: &Arc<Inner>, kind: FrameKind) {
        let mut state = self.state();
        if !state.is_closed {
            state.send_queue.push_heartbeat(kind);
            self.write_queued(inner, state);
        }
    }

    /// Shuts the socket down; the reader thread then notices the end and runs `close`.
    pub(crate) fn shut_down(&self) {
        self.state().is_closed = true;
        // Fails only if the socket is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Closes the sending direction once everything queued is written; false until then.
    pub(crate) fn finish_sending(&self) -> bool {
        let mut state = self.state();
        if !state.is_closed && (state.is_writing || !state.send_queue.is_empty()) {
            return false;
        }
        state.is_closed = true;
        let _ = self.stream.shutdown(Shutdown::Write);
        true
    }

    /// Closes the connection and returns the callbacks of its pending requests.
    pub(crate) fn close(&self) -> DueCallbacks {
        self.shut_down();
        let pending = std::mem::take(&mut self.state().pending);
        pending
            .into_values()
            .map(|pending| {
                let error = pending.error();
                (pending.on_reply, error)
            })
            .collect()
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }
}
