//! Non-blocking operations on a socket.

use socket2::SockRef;
use std::{io, mem::MaybeUninit, net::TcpStream};

const MSG_PEEK: i32 = 0x02;
#[cfg(any(target_os = "linux", target_os = "android"))]
const MSG_DONTWAIT: i32 = 0x40;
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const MSG_DONTWAIT: i32 = 0x80;
/// Keeps a write to a closed connection from raising SIGPIPE.
#[cfg(any(target_os = "linux", target_os = "android"))]
const MSG_NOSIGNAL: i32 = 0x4000;
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const MSG_NOSIGNAL: i32 = 0;

/// State of the receiving side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Peeked {
    /// Open, without unread bytes.
    Quiet,
    /// Has unread bytes.
    Unread,
    /// Closed by the peer, or failed.
    Closed,
}

/// Checks a connection without blocking and without consuming bytes.
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

/// Writes once without blocking; 0 if the send buffer is full.
pub(crate) fn send_now(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    loop {
        match SockRef::from(stream).send_with_flags(bytes, MSG_DONTWAIT | MSG_NOSIGNAL) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(0),
            other => return other,
        }
    }
}
