//! Guards against refused callers that retry before there is capacity, all at once, or much too
//! late.

use limits::{RefusalCause, retry_after_ms};

const TARGET_MS: u64 = 600;

fn range(cause: RefusalCause) -> (f64, f64) {
    let at = |random| retry_after_ms(cause, TARGET_MS, random);
    (at(0.0), at(1.0))
}

#[test]
fn follows_expected_wait() {
    let no_capacity = |expected_ms| range(RefusalCause::NoCapacity { expected_ms });
    assert_eq!(
        no_capacity(300),
        (60.0, 240.0),
        "another call took the free slot"
    );
    assert_eq!(no_capacity(1_600), (500.0, 1_000.0));
    assert_eq!(
        no_capacity(60_000),
        (600.0, 1_200.0),
        "the estimate of a long wait is inexact"
    );
}

#[test]
fn starting_and_other() {
    assert_eq!(range(RefusalCause::Starting), (600.0, 1_200.0));
    assert_eq!(range(RefusalCause::Other), (60.0, 240.0));
}

#[test]
fn spread_over_the_range() {
    let cause = RefusalCause::NoCapacity { expected_ms: 1_600 };
    let times: Vec<f64> = (0..=10)
        .map(|tenth| retry_after_ms(cause, TARGET_MS, f64::from(tenth) / 10.0))
        .collect();
    assert!(
        times.windows(2).all(|pair| pair[1] - pair[0] > 40.0),
        "{times:?}"
    );
}
