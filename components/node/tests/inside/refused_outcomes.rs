//! Guards against a shortage that the calls of a service extend because they call the service itself,
//! and against one that is seen where a single owner has no upstream.

use super::{UnansweredCall, refused_outcome};
use errors::ErrorKind;
use http::Response;
use limits::DownstreamOutcome;

const RETRY_AFTER_US: u64 = 400_000;

fn outcome(
    cause: ErrorKind,
    until_us: Option<u64>,
    has_found_upstream: bool,
) -> Option<DownstreamOutcome> {
    let call = UnansweredCall {
        cause,
        until_us,
        has_found_upstream,
    };
    let response = Response::new(503, "").with_header("retry-after", "0.400");
    refused_outcome(&call, &response)
}

#[test]
fn time_without_spread() {
    for kind in [ErrorKind::Overloaded, ErrorKind::QueueFull] {
        assert_eq!(
            outcome(kind, Some(30_000), true),
            Some(DownstreamOutcome::RefusedUntil { until_us: 30_000 })
        );
        assert_eq!(
            outcome(kind, None, true),
            Some(DownstreamOutcome::Overloaded {
                retry_after_us: RETRY_AFTER_US
            })
        );
    }
}

#[test]
fn no_upstream_known() {
    assert_eq!(outcome(ErrorKind::NoUpstream, None, true), None);
    assert_eq!(
        outcome(ErrorKind::NoUpstream, None, false),
        Some(DownstreamOutcome::NoUpstream {
            retry_after_us: RETRY_AFTER_US
        })
    );
}
