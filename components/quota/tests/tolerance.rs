//! Guards against a tolerance that lets more calls through than a deployment allows in any window,
//! and against one that changes limits where none is granted.

use quota::{CustomerLimit, QuotaTolerance};

fn limit(rate_per_s: f64, burst: f64) -> CustomerLimit {
    CustomerLimit {
        rate_per_s: Some(rate_per_s),
        burst,
    }
}

/// Most calls that the coordinator admits in a window of this length (docs/design/quotas.md).
fn most_admitted(limit: CustomerLimit, window_s: f64) -> f64 {
    let rate = limit.rate_per_s.unwrap();
    rate * window_s + limit.burst + 7.0 + 0.1 * rate
}

#[test]
fn bound_of_window() {
    let tolerance = QuotaTolerance {
        window_s: 5.0,
        overage_percent: 10.0,
        slack: 20.0,
    };
    for rate in [0.5, 1.0, 5.0, 35.0, 330.0, 10_000.0] {
        for burst in [0.0, 1.0, rate, 10.0 * rate] {
            let applied = tolerance.apply(limit(rate, burst));
            let allowed = (rate * 5.0 + burst) * 1.1 + 20.0;
            let most = most_admitted(applied, 5.0);
            let untouched = most_admitted(limit(rate, burst), 5.0);
            assert!(
                most <= allowed.max(untouched) + 1e-6,
                "rate {rate}, burst {burst}: {most} of {allowed}"
            );
            assert!(applied.rate_per_s >= Some(rate));
            assert_eq!(applied.burst, burst);
        }
    }
}

#[test]
fn without_tolerance() {
    let none = QuotaTolerance {
        window_s: 5.0,
        ..QuotaTolerance::default()
    };
    assert_eq!(none.apply(limit(35.0, 35.0)), limit(35.0, 35.0));
    let unlimited = CustomerLimit {
        rate_per_s: None,
        burst: 0.0,
    };
    assert_eq!(none.apply(unlimited), unlimited);
}
