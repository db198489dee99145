//! Guards against duplicate codes, invalid statuses and missing texts in the error table.

use errors::{ErrorKind, Outcome};
use std::collections::HashSet;

#[test]
fn complete_table() {
    let mut codes = HashSet::new();
    for kind in ErrorKind::ALL {
        let info = kind.info();
        assert!(codes.insert(info.code), "{} occurs twice", info.code);
        assert!(
            (400..600).contains(&info.status),
            "{} has status {}",
            info.code,
            info.status
        );
        assert!(info.message.ends_with('.'), "{} has no message", info.code);
        assert!(info.advice.ends_with('.'), "{} has no advice", info.code);
    }
}

#[test]
fn outcome_names() {
    assert_eq!(Outcome::NotRun.header_value(), "not-run");
    assert_eq!(Outcome::Unknown.header_value(), "unknown");
}
