//! Guards against callers whose bodies take more memory than the budget, and against a budget that
//! shuts out ordinary callers or the largest request.

use limits::{MemoryShares, SMALL_BYTES};
use proptest::{collection::vec, prelude::*};

const MAX_BYTES: usize = 32 << 20;
/// Memory of a request with a body of 2 MB.
const LARGE_BYTES: usize = 8_000_000;

/// The crowd of docs/hard-load.md: 200 bodies of the largest legal size from eight addresses, none of
/// which ends.
#[test]
fn crowd_of_bodies_short_of_their_end() {
    let mut shares = MemoryShares::new(MAX_BYTES);
    let accepted = (0..200).filter(|n| shares.try_grow(&(n % 8), 0, LARGE_BYTES));
    assert_eq!(accepted.count(), MAX_BYTES / LARGE_BYTES);
    assert!(shares.held_bytes() <= MAX_BYTES);
    assert!(
        shares.try_grow(&0, 0, SMALL_BYTES),
        "an address of the crowd"
    );
    assert!(shares.try_grow(&9, 0, SMALL_BYTES), "another address");
}

#[test]
fn part_of_one_peer() {
    let mut shares = MemoryShares::new(MAX_BYTES);
    let accepted = (0..200).filter(|_| shares.try_grow(&1, 0, LARGE_BYTES));
    assert_eq!(accepted.count(), MAX_BYTES * 3 / 4 / LARGE_BYTES);
    assert!(shares.try_grow(&2, 0, LARGE_BYTES), "another address");
}

#[test]
fn larger_than_the_budget() {
    let mut shares = MemoryShares::new(MAX_BYTES);
    assert!(shares.try_grow(&1, 0, 4 * MAX_BYTES), "the only request");
    assert!(shares.try_grow(&1, 4 * MAX_BYTES, 10), "its next piece");
    assert!(!shares.try_grow(&2, 0, 2 * SMALL_BYTES), "beside it");
    shares.release(&1, 4 * MAX_BYTES + 10);
    assert!(shares.try_grow(&2, 0, 4 * MAX_BYTES), "after it");
}

proptest! {
    /// Whatever is requested, more than the budget and its reserve is held by a single request only.
    #[test]
    fn never_above_the_budget(requests in vec((0..4u8, 0..3 * MAX_BYTES, any::<bool>()), 0..200)) {
        let mut shares = MemoryShares::new(MAX_BYTES);
        let mut held: Vec<(u8, usize)> = Vec::new();
        for (peer, bytes, releases_first) in requests {
            if releases_first && !held.is_empty() {
                let (peer, bytes) = held.remove(0);
                shares.release(&peer, bytes);
            }
            if shares.try_grow(&peer, 0, bytes) {
                held.push((peer, bytes));
            }
            let total: usize = held.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(shares.held_bytes(), total);
            let large = held.iter().filter(|(_, bytes)| *bytes > 0).count();
            prop_assert!(total <= MAX_BYTES + MAX_BYTES / 4 || large == 1);
        }
    }
}
