//! Guards refused callers against coming back before there is room, all at once, or much too late.

use limits::{RefusalCause, retry_after_ms};

const TARGET_MS: u64 = 600;

fn range(reason: RefusalCause) -> (f64, f64) {
    let at = |draw| retry_after_ms(reason, TARGET_MS, draw);
    (at(0.0), at(1.0))
}

#[test]
fn follows_the_wait() {
    let room = |expected_ms| range(RefusalCause::NoCapacity { expected_ms });
    assert_eq!(room(300), (60.0, 240.0), "a free slot was lost to another");
    assert_eq!(room(1_600), (500.0, 1_000.0));
    assert_eq!(room(60_000), (600.0, 1_200.0), "a rough estimate");
}

#[test]
fn starting_and_other() {
    assert_eq!(range(RefusalCause::Starting), (600.0, 1_200.0));
    assert_eq!(range(RefusalCause::Other), (60.0, 240.0));
}

#[test]
fn spread_over_the_range() {
    let reason = RefusalCause::NoCapacity { expected_ms: 1_600 };
    let times: Vec<f64> = (0..=10)
        .map(|tenth| retry_after_ms(reason, TARGET_MS, f64::from(tenth) / 10.0))
        .collect();
    assert!(
        times.windows(2).all(|pair| pair[1] - pair[0] > 40.0),
        "{times:?}"
    );
}
