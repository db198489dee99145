//! Guards against new processes of an instance that aren't taken for cold, and against a restart of
//! the node that takes a running instance for a new one.

use super::InstanceStarts;
use crate::announce::Announcement;
use kernel::InstanceStart;
use model::UpstreamName;

const LEASE_US: u64 = 10_000_000;
/// Time of day at which the reports arrive.
const UNIX_MS: u64 = 20_000;

fn announcement(name: &str, started_ms: Option<u64>) -> Announcement {
    let started = started_ms.map_or_else(|| "null".to_owned(), |ms| ms.to_string());
    let body = format!(
        r#"{{"service":"browse","name":"{name}","address":"10.0.0.1:80","slots":4,"default_profile":"p","started_ms":{started}}}"#
    );
    Announcement::parse(body.as_bytes()).unwrap()
}

/// A node that starts at 0.
fn starts() -> InstanceStarts {
    InstanceStarts::new(0, LEASE_US)
}

/// Records an announcement soon after the start of the node.
fn record(starts: &mut InstanceStarts, name: &str, started_ms: Option<u64>) -> bool {
    let announcement = announcement(name, started_ms);
    starts.record(LEASE_US / 2, UNIX_MS, &announcement) == InstanceStart::Observed
}

/// An instance that the node hears of soon after its own start may have run before. Its start time
/// doesn't tell, since the time of day may have changed between the two starts.
#[test]
fn first_after_start() {
    for started_ms in [Some(4_000), Some(6_000), None] {
        let mut starts = starts();
        assert!(!record(&mut starts, "i-1", started_ms));
        assert!(!record(&mut starts, "i-1", started_ms), "a repetition");
    }
}

/// Guards against a node that starts together with its instance and takes it for one that may have
/// run for long, and against the opposite: one that isn't cold, is older, or seems to start later.
#[test]
fn started_with_node() {
    for (started_ms, cold_ms, expected) in [
        (UNIX_MS - 100, Some(2_900), InstanceStart::Recent),
        (UNIX_MS - 100, Some(0), InstanceStart::Unknown),
        (UNIX_MS - 100, None, InstanceStart::Unknown),
        (UNIX_MS - 2_000, Some(1_000), InstanceStart::Unknown),
        (UNIX_MS + 1, Some(2_900), InstanceStart::Unknown),
    ] {
        let mut starts = starts();
        let mut report = announcement("i-1", Some(started_ms));
        report.cold_ms = cold_ms;
        let start = starts.record(LEASE_US / 2, UNIX_MS, &report);
        assert_eq!(start, expected, "started {started_ms}, cold {cold_ms:?}");
        let next = starts.record(LEASE_US / 2, UNIX_MS, &report);
        assert_eq!(next, InstanceStart::Unknown, "a repetition");
    }
}

/// An instance that ran would have reported within its lease. One that started after the time of day
/// had gone back was taken for older than the node.
#[test]
fn first_after_lease() {
    for started_ms in [Some(3_000), None] {
        let mut starts = starts();
        let report = announcement("i-1", started_ms);
        let starts_of_reports = [0, 1].map(|us| starts.record(LEASE_US + us, UNIX_MS, &report));
        let expected = [InstanceStart::Observed, InstanceStart::Unknown];
        assert_eq!(starts_of_reports, expected);
    }
}

#[test]
fn started_beside_node() {
    let mut starts = starts();
    record(&mut starts, "i-1", Some(6_000));
    assert!(!record(&mut starts, "i-1", Some(6_000)), "a repetition");
    assert!(record(&mut starts, "i-1", Some(7_000)), "a restart");
    assert!(record(&mut starts, "i-2", Some(7_000)), "another instance");
    // The time of day may have gone back meanwhile.
    assert!(record(&mut starts, "i-2", Some(3_000)));
}

/// A restart after the time of day had gone back left the work of the earlier start counted.
#[test]
fn restart_in_reports() {
    let mut starts = starts();
    let [first, second] = ["i-1", "i-2"].map(|name| UpstreamName::parse(name).unwrap());
    assert!(!starts.record_report(&first, 6_000));
    assert!(!starts.record_report(&first, 6_000), "a repetition");
    assert!(starts.record_report(&first, 7_000), "a restart");
    assert!(starts.record_report(&first, 3_000), "after a step back");
    assert!(!starts.record_report(&second, 9_000), "another instance");
}

#[test]
fn without_start_time() {
    let mut starts = starts();
    assert!(!record(&mut starts, "i-1", None));
    assert!(!record(&mut starts, "i-1", None));
    starts.withdraw();
    assert!(record(&mut starts, "i-1", None));
    assert!(!record(&mut starts, "i-1", None));
}
