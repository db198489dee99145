//! Non-blocking look at a connection.

use socket2::SockRef;
use std::{io, mem::MaybeUninit, net::TcpStream};

const MSG_PEEK: i32 = 0x02;
#[cfg(any(target_os = "linux", target_os = "android"))]
const MSG_DONTWAIT: i32 = 0x40;
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const MSG_DONTWAIT: i32 = 0x80;

/// What a connection holds right now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Peeked {
    Quiet,
    Unread,
    Closed,
}

/// Looks without blocking and without consuming bytes.
pub(crate) fn peek(stream: &TcpStream) -> Peeked {
    let mut byte = [MaybeUninit::<u8>::uninit(); 1];
    match SockRef::from(stream).recv_with_flags(&mut byte, MSG_PEEK | MSG_DONTWAIT) {
        Ok(0) => Peeked::Closed,
        Ok(_) => Peeked::Unread,
        Err(error) => match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted => Peeked::Quiet,
            _ => Peeked::Closed,
        },
    }
}

/// Tells a handler whether its caller is still connected.
#[derive(Debug)]
pub struct CallerWatch<'a> {
    stream: &'a TcpStream,
}

impl<'a> CallerWatch<'a> {
    pub(crate) fn new(stream: &'a TcpStream) -> Self {
        CallerWatch { stream }
    }

    /// Whether the caller closed its connection; never blocks and takes no pipelined bytes.
    pub fn is_gone(&self) -> bool {
        peek(self.stream) == Peeked::Closed
    }
}
