//! Guards against callers that are told the time of another owner than the one that refused last.

use super::LastRefusal;
use errors::ErrorKind;

fn after(refusals: &[(ErrorKind, Option<u64>)]) -> LastRefusal {
    let mut last = LastRefusal::default();
    for (kind, until_us) in refusals {
        last.record(*kind, *until_us);
    }
    last
}

#[test]
fn last_one_decides() {
    use ErrorKind::{NoUpstream, Overloaded, RetryBudgetSpent};
    let (with_time, plain) = ((Overloaded, Some(7)), (Overloaded, None));
    for kind in [Overloaded, RetryBudgetSpent] {
        assert_eq!(after(&[with_time]).until_us(kind), Some(7));
        assert_eq!(after(&[plain, with_time]).until_us(kind), Some(7));
        assert_eq!(after(&[with_time, plain]).until_us(kind), None);
    }
    assert_eq!(after(&[with_time]).until_us(NoUpstream), None);
    let last = after(&[with_time, (NoUpstream, None)]);
    assert_eq!(last.cause(RetryBudgetSpent), NoUpstream);
    assert_eq!(last.cause(Overloaded), Overloaded);
}
