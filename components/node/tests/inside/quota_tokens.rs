//! Guards against tokens that are given back for calls that may have run: customers whose callers leave
//! early would get more calls run than their quota allows.

use super::has_surely_not_run;
use errors::ErrorKind;

#[test]
fn kept_by_calls_that_may_have_run() {
    for kind in [
        ErrorKind::Cancelled,
        ErrorKind::OwnerLost,
        ErrorKind::UpstreamLost,
        ErrorKind::DeadlinePassed,
        ErrorKind::StopTimeout,
    ] {
        assert!(!has_surely_not_run(kind), "{kind}");
    }
}

#[test]
fn given_back_by_refused_calls() {
    for kind in [
        ErrorKind::Overloaded,
        ErrorKind::NoUpstream,
        ErrorKind::DeadlineExpired,
        ErrorKind::KeyInProgress,
        ErrorKind::KeyOutcomeUnknown,
        ErrorKind::KeyUnconfirmed,
    ] {
        assert!(has_surely_not_run(kind), "{kind}");
    }
}
