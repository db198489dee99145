//! Guards against a shortage that the calls of a service extend because they call the service itself.

use super::refused_outcome;
use errors::ErrorKind;
use http::Response;
use limits::DownstreamOutcome;

#[test]
fn time_without_spread() {
    let response = Response::new(503, "").with_header("retry-after", "0.400");
    for kind in [ErrorKind::Overloaded, ErrorKind::QueueFull] {
        assert_eq!(
            refused_outcome(kind, Some(30_000), &response),
            Some(DownstreamOutcome::RefusedUntil { until_us: 30_000 })
        );
        assert_eq!(
            refused_outcome(kind, None, &response),
            Some(DownstreamOutcome::Overloaded {
                retry_after_us: 400_000
            })
        );
    }
}
