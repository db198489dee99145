//! Guards against new processes of an instance that aren't taken for cold, and against a restart of
//! the node that takes a running instance for a new one.

use super::InstanceStarts;
use crate::announce::Announcement;

/// Start of the node in milliseconds since the Unix epoch.
const NODE_STARTED_MS: u64 = 5_000;

fn announcement(name: &str, started_ms: Option<u64>) -> Announcement {
    let started = started_ms.map_or_else(|| "null".to_owned(), |ms| ms.to_string());
    let body = format!(
        r#"{{"service":"browse","name":"{name}","address":"10.0.0.1:80","slots":4,"default_profile":"p","started_ms":{started}}}"#
    );
    Announcement::parse(body.as_bytes()).unwrap()
}

fn record(starts: &mut InstanceStarts, name: &str, started_ms: Option<u64>) -> bool {
    starts.record(&announcement(name, started_ms), NODE_STARTED_MS)
}

#[test]
fn older_than_node() {
    let mut starts = InstanceStarts::default();
    assert!(!record(&mut starts, "i-1", Some(4_000)));
    assert!(!record(&mut starts, "i-1", Some(4_000)));
}

#[test]
fn started_beside_node() {
    let mut starts = InstanceStarts::default();
    assert!(record(&mut starts, "i-1", Some(6_000)));
    assert!(!record(&mut starts, "i-1", Some(6_000)), "a repetition");
    assert!(record(&mut starts, "i-1", Some(7_000)), "a restart");
    assert!(record(&mut starts, "i-2", Some(7_000)), "another instance");
    // The time of day may have gone back meanwhile.
    assert!(record(&mut starts, "i-2", Some(3_000)));
}

#[test]
fn without_start_time() {
    let mut starts = InstanceStarts::default();
    assert!(!record(&mut starts, "i-1", None));
    assert!(!record(&mut starts, "i-1", None));
    starts.withdraw();
    assert!(record(&mut starts, "i-1", None));
    assert!(!record(&mut starts, "i-1", None));
}
