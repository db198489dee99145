//! Memory of a body while it arrives.
//!
//! A body that grows in one vector is moved each time it doubles. The memory that it leaves behind
//! stays with the allocator's arena of the thread, so that many growing bodies on many threads use a
//! multiple of their size. Bodies are therefore collected in pieces of one size, which the whole
//! process uses again.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Size of a piece in bytes. Bodies up to this size are kept in one vector.
const PIECE_BYTES: usize = 64 * 1024;
/// Most unused pieces that are kept; the rest is returned to the allocator. No budget counts them.
const MAX_FREE_PIECES: usize = 64;

/// Unused pieces of the process, all empty and with a capacity of `PIECE_BYTES`.
static FREE_PIECES: Mutex<Vec<Vec<u8>>> = Mutex::new(Vec::new());

fn free_pieces() -> MutexGuard<'static, Vec<Vec<u8>>> {
    FREE_PIECES.lock().unwrap_or_else(PoisonError::into_inner)
}

fn take_piece() -> Vec<u8> {
    let reused = free_pieces().pop();
    reused.unwrap_or_else(|| Vec::with_capacity(PIECE_BYTES))
}

fn return_piece(mut piece: Vec<u8>) {
    if piece.capacity() != PIECE_BYTES {
        return;
    }
    piece.clear();
    let mut free = free_pieces();
    if free.len() < MAX_FREE_PIECES {
        free.push(piece);
    }
}

/// A body as far as it has arrived.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    /// All but the last are full. Only the first may be smaller than a piece.
    pieces: Vec<Vec<u8>>,
    length: usize,
}

impl BodyBuffer {
    /// Creates a buffer for a body of about this length.
    pub(crate) fn with_capacity(bytes: usize) -> Self {
        let first = match bytes {
            0 => return BodyBuffer::default(),
            1..PIECE_BYTES => Vec::with_capacity(bytes),
            PIECE_BYTES.. => take_piece(),
        };
        BodyBuffer {
            pieces: vec![first],
            length: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Bytes of memory that the body takes.
    pub(crate) fn capacity(&self) -> usize {
        self.pieces.iter().map(Vec::capacity).sum()
    }

    pub(crate) fn extend(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let added = bytes.len().min(self.room_for(bytes.len()));
            if let Some(last) = self.pieces.last_mut() {
                last.extend_from_slice(&bytes[..added]);
            }
            bytes = &bytes[added..];
        }
    }

    /// Makes room in the last piece, or adds one; returns how many bytes fit.
    fn room_for(&mut self, bytes: usize) -> usize {
        let is_first = self.pieces.len() <= 1;
        match self.pieces.last_mut() {
            None => self.pieces.push(Vec::new()),
            Some(last) if last.len() == PIECE_BYTES => self.pieces.push(take_piece()),
            Some(_) => {}
        }
        let Some(last) = self.pieces.last_mut() else {
            return 0;
        };
        if is_first && last.capacity() - last.len() < bytes {
            let wanted = (last.len() + bytes).max(2 * last.capacity());
            let wanted = wanted.min(PIECE_BYTES);
            last.reserve_exact(wanted.saturating_sub(last.len()));
        }
        last.capacity().min(PIECE_BYTES) - last.len()
    }

    /// Returns the whole body in one vector.
    pub(crate) fn into_vec(mut self) -> Vec<u8> {
        if self.pieces.len() <= 1 {
            return self.pieces.pop().unwrap_or_default();
        }
        let mut whole = Vec::with_capacity(self.length);
        for piece in self.pieces.drain(..) {
            whole.extend_from_slice(&piece);
            return_piece(piece);
        }
        whole
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.pieces.drain(..).for_each(return_piece);
    }
}
