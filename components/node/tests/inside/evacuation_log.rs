//! Guards against refusals of an evacuated zone that look like those of a missing instance, and against
//! a line for each of many refused calls.

use super::describe_rule;
use crate::refusal_log::is_logged;
use model::{AvailabilityZone, Revision};

#[test]
fn rule_with_figures() {
    let zone = AvailabilityZone::parse("zone-a").unwrap();
    let revision = Revision {
        number: 7,
        ..Revision::default()
    };
    let text = describe_rule(&zone, revision, 41);
    let expected =
        format!("availability zone zone-a is evacuated, revision {revision}, confirmed 41 ms ago");
    assert_eq!(text, expected);
}

#[test]
fn sampled() {
    let logged: Vec<u64> = (1..=45).filter(|refused| is_logged(*refused)).collect();
    assert_eq!(logged, [1, 21, 41]);
}
