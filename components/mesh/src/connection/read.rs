//! Reading from the socket and handling the frames that arrive.

use super::{Connection, state::MAX_KEPT_BUFFER_BYTES};
use crate::{
    Frame, FrameDecoder, FrameError, FrameKind, MessageAssembler, RequestError,
    inner::{Inner, catch_panic},
    stats::increment,
};
use errors::ErrorKind;
use std::{
    io::{self, Read},
    net::TcpStream,
    sync::{Arc, atomic::Ordering},
};

const READ_BYTES: usize = 16 * 1024;

/// Whether more bytes can arrive on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadStatus {
    WouldBlock,
    Closed,
}

/// Receiving side of a connection: decoder, incomplete messages and unprocessed bytes.
pub(crate) struct ReceiveState {
    decoder: FrameDecoder,
    assembler: MessageAssembler,
    buffer: Vec<u8>,
}

impl ReceiveState {
    pub(crate) fn new(inner: &Inner, connection: &Connection) -> Self {
        let limits = &inner.limits;
        ReceiveState {
            decoder: FrameDecoder::new(connection.receive_key),
            assembler: MessageAssembler::new(limits.max_message_bytes, limits.max_queued_bytes),
            buffer: Vec::new(),
        }
    }

    /// Appends bytes that have arrived to the buffer.
    fn read(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let length = self.buffer.len();
        self.buffer.resize(length + READ_BYTES, 0);
        let read = read_nonblocking(stream, &mut self.buffer[length..]);
        let count = read.as_ref().map_or(0, |count| *count);
        self.buffer.truncate(length + count);
        read
    }
}

impl Connection {
    /// Reads and processes all bytes that have arrived, without blocking.
    pub(crate) fn read_available(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        receive_state: &mut ReceiveState,
    ) -> ReadStatus {
        loop {
            match receive_state.read(&self.stream) {
                Ok(0) => {
                    if !receive_state.buffer.is_empty() {
                        increment(&inner.counters.bad_frames);
                        log::warn!(
                            "mesh: peer {} closed the connection inside a frame",
                            self.peer
                        );
                    }
                    return ReadStatus::Closed;
                }
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ReadStatus::WouldBlock;
                }
                Err(_) => return ReadStatus::Closed,
            }
            if let Err(error) = self.process_frames(inner, receive_state) {
                increment(&inner.counters.bad_frames);
                let code = ErrorKind::BadFrame.info().code;
                log::warn!("mesh: connection to {} closed, {code}: {error}", self.peer);
                return ReadStatus::Closed;
            }
        }
    }

    fn process_frames(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        receive_state: &mut ReceiveState,
    ) -> Result<(), FrameError> {
        let ReceiveState {
            decoder,
            assembler,
            buffer,
        } = receive_state;
        let mut start = 0;
        while let Some((frame, length)) = decoder.decode(&buffer[start..])? {
            start += length;
            self.last_inbound_us
                .store(inner.now_us(), Ordering::Release);
            match frame.kind {
                FrameKind::Ping => {
                    increment(&inner.counters.heartbeats_in);
                    self.send_heartbeat(inner, FrameKind::Pong);
                }
                FrameKind::Pong => increment(&inner.counters.heartbeats_in),
                _ => {
                    inner
                        .counters
                        .received(frame.channel, length, !frame.has_more);
                    if let Some(message) = assembler.push(frame)? {
                        self.deliver(inner, message);
                    }
                }
            }
        }
        buffer.drain(..start);
        if buffer.is_empty() {
            buffer.shrink_to(MAX_KEPT_BUFFER_BYTES);
        }
        Ok(())
    }

    fn deliver(self: &Arc<Self>, inner: &Arc<Inner>, message: Frame) {
        let result = match message.kind {
            FrameKind::Reply => Ok(message.payload),
            FrameKind::NoReply => Err(RequestError::ConnectionLost),
            FrameKind::Request | FrameKind::OneWay => return inner.dispatch(self, message),
            FrameKind::Ping | FrameKind::Pong => return,
        };
        let pending = self.state().pending.remove(&message.id);
        // A reply that arrives after the deadline finds no pending request.
        if let Some(pending) = pending {
            catch_panic(|| (pending.on_reply)(result));
        }
    }
}

/// Reads once; doesn't block, since the socket is in non-blocking mode.
fn read_nonblocking(mut stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}
