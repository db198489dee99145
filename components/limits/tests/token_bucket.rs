//! Guards against a one-second window with more tokens than the rate of the token bucket.

use limits::TokenBucket;
use proptest::{collection::vec, prop_assert, proptest};

proptest! {
    #[test]
    fn window_bound(
        rate in 0u32..500,
        burst in 0u32..2_000,
        takes in vec((0u64..300_000, 1u32..8), 1..120),
    ) {
        let mut bucket = TokenBucket::new(rate, burst);
        let mut now_us = 0;
        let mut granted: Vec<(u64, u32)> = Vec::new();
        for (gap_us, n) in takes {
            now_us += gap_us;
            // Several requests at one moment try to take more than the burst.
            for _ in 0..5 {
                if bucket.try_take(now_us, n) {
                    granted.push((now_us, n));
                }
            }
        }
        for &(start_us, _) in &granted {
            let end_us = start_us + 1_000_000;
            let inside = granted.iter().filter(|(at, _)| (start_us..end_us).contains(at));
            let sum: u32 = inside.map(|(_, n)| n).sum();
            prop_assert!(sum <= rate, "{sum} tokens within a second at a rate of {rate}");
        }
    }
}

#[test]
fn steady_use() {
    let mut bucket = TokenBucket::new(100, 10);
    let granted = (0..10_000)
        .filter(|ms| bucket.try_take(ms * 1_000, 1))
        .count();
    assert!(
        (900..=1_000).contains(&granted),
        "{granted} of 1000 tokens in ten seconds"
    );
}

#[test]
fn clock_step() {
    let mut bucket = TokenBucket::new(10, 1);
    assert!(bucket.try_take(5_000_000, 1));
    assert!(
        !bucket.try_take(1_000_000, 1),
        "an earlier time must not refill"
    );
    assert!(
        !bucket.try_take(5_000_001, 1),
        "nor must the return from it"
    );
}
