//! Guards the table from error kind to answer against gaps and duplicates.

use errors::{ErrorKind, Outcome};
use std::collections::HashSet;

#[test]
fn whole_list() {
    let mut codes = HashSet::new();
    for kind in ErrorKind::ALL {
        let row = kind.info();
        assert!(codes.insert(row.code), "{} stands twice", row.code);
        assert!(
            (400..600).contains(&row.status),
            "{} has status {}",
            row.code,
            row.status
        );
        assert!(row.message.ends_with('.'), "{} has no message", row.code);
        assert!(row.advice.ends_with('.'), "{} has no advice", row.code);
    }
}

#[test]
fn outcome_names() {
    assert_eq!(Outcome::NotRun.header_value(), "not-run");
    assert_eq!(Outcome::Unknown.header_value(), "unknown");
}
