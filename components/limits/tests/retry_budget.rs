//! Guards against retry storms, and against reservations that use up the retries of failed calls.

use limits::RetryBudget;

#[test]
fn share_of_successes() {
    let mut budget = RetryBudget::new(10, 0);
    assert!(!budget.try_retry(0), "no success has paid for a retry");
    (0..100).for_each(|_| budget.on_success(0));
    let granted = (0..100).filter(|_| budget.try_retry(0)).count();
    assert_eq!(granted, 10);
}

#[test]
fn limited_surplus() {
    let mut budget = RetryBudget::new(10, 0);
    (0..100_000).for_each(|_| budget.on_success(0));
    let granted = (0..10_000).filter(|_| budget.try_retry(0)).count();
    assert_eq!(
        granted, 50,
        "a long quiet period must not pay for a retry storm"
    );
}

#[test]
fn reserved_retries() {
    let mut budget = RetryBudget::new(100, 0);
    (0..50).for_each(|_| budget.on_success(0));
    let reserved = (0..50).filter(|_| budget.try_reserve()).count();
    assert_eq!(
        reserved, 25,
        "reservations must leave retries for failed calls"
    );
    (0..reserved).for_each(|_| budget.release());
    let granted = (0..100).filter(|_| budget.try_retry(0)).count();
    assert_eq!(granted, 50, "a released reservation must be usable again");
}
