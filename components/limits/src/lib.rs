//! Admission, token buckets and retry budgets.
