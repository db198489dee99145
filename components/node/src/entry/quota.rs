//! Charges calls to the quotas of their customers.

use super::{Entry, call::PreparedCall};
use crate::quotas::{QuotaPermit, QuotaRefusal};
use errors::ErrorKind;
use http::{Response, error_response};
use kernel::ErrorLabels;

impl Entry {
    /// Charges a call to its customer, or refuses it.
    pub(super) fn charge_quota(&self, call: &PreparedCall) -> Result<QuotaPermit, QuotaRefusal> {
        match &call.customer {
            Some(customer) => self.quotas.admit(customer),
            None => Ok(QuotaPermit::unlimited()),
        }
    }

    /// Gives the token of a call back if no upstream has run or will run it. A stored answer is that of
    /// another call, which was charged for its run.
    pub(super) fn settle_quota(
        permit: QuotaPermit,
        result: &Result<Response, ErrorKind>,
        has_stored_answer: bool,
    ) {
        let has_not_run = match result {
            Ok(_) => has_stored_answer,
            Err(kind) => has_surely_not_run(*kind),
        };
        if has_not_run {
            permit.give_back();
        }
    }

    /// Response to a call that is refused by the quota of its customer.
    pub(super) fn quota_response(&self, call: &PreparedCall, refusal: QuotaRefusal) -> Response {
        let labels = ErrorLabels {
            service: call.service.to_string(),
            code: refusal.kind.info().code.to_owned(),
        };
        let errors = &self.context.kernel.metrics.errors;
        errors.get_or_create(&labels).inc();
        let seconds = refusal.retry_after_ms as f64 / 1_000.0;
        error_response(refusal.kind).with_header("retry-after", format!("{seconds:.3}"))
    }
}

/// Whether a call that ended like this has surely not run. One whose caller has left ends as cancelled
/// before its owner tells whether it was running. One whose idempotency key another call holds was not
/// sent; only the outcome of the other is unknown.
fn has_surely_not_run(kind: ErrorKind) -> bool {
    match kind {
        ErrorKind::Cancelled => false,
        ErrorKind::KeyInProgress | ErrorKind::KeyOutcomeUnknown => true,
        _ => kind.is_not_run(),
    }
}

#[cfg(test)]
#[path = "../../tests/inside/quota_tokens.rs"]
mod tests;
