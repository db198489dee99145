//! Names of the HTTP header fields that calls carry.

/// Names of the header fields of calls. They are chosen by the binary, not by flags. A field
/// without a name is neither read nor written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallHeaders {
    /// Time left for the call in milliseconds, from callers and to upstreams.
    pub deadline_ms: &'static str,
    /// Key of a call that its caller may send again. Without a name, a field that callers send between
    /// themselves and upstreams is forwarded and has no meaning here.
    pub idempotency_key: Option<&'static str>,
    /// The caller's request id, which upstreams repeat in their responses.
    pub request_id: Option<&'static str>,
    /// Fields that tell who sends a call. A request that crashes upstreams is told by them from an
    /// equal request of another caller.
    pub identity: &'static [&'static str],
    /// Service of the caller, which is the service beside the node that accepted the call; sent to
    /// upstreams.
    pub caller_service: Option<&'static str>,
    /// Name of the only upstream that may run the call; sent to upstreams.
    pub expected_upstream: Option<&'static str>,
    /// Name of the upstream, in the responses to health checks.
    pub upstream_name: Option<&'static str>,
    /// Set by an upstream that did not run the call.
    pub not_run: Option<&'static str>,
    /// Load figures in an upstream's responses, separated by commas: running calls, waiting calls,
    /// slots, and the pace of its host (the time that work takes there, in percent of the usual).
    pub load: Option<&'static str>,
    /// Time for which the upstream stays cold in milliseconds, in the responses to health checks.
    pub cold_ms: Option<&'static str>,
    /// Key of the customer that a call is sent for, as `Bearer KEY`. Only the entry reads it, and only
    /// if the configuration has customers; it is not forwarded then.
    pub api_key: Option<&'static str>,
    /// Name of the customer that a call is sent for, which the entry sends to upstreams if the
    /// configuration has customers. What callers send in this field is removed then.
    pub customer: Option<&'static str>,
}

impl Default for CallHeaders {
    fn default() -> Self {
        CallHeaders {
            deadline_ms: "x-gyard-deadline-ms",
            idempotency_key: Some("idempotency-key"),
            request_id: None,
            identity: &["authorization", "x-api-key", "x-gyard-customer"],
            caller_service: None,
            expected_upstream: None,
            upstream_name: None,
            not_run: None,
            load: None,
            cold_ms: None,
            api_key: Some("authorization"),
            customer: Some("x-gyard-customer"),
        }
    }
}
