//! Names of the header fields that calls carry.

/// Header fields of calls, set by the program and not by flags. A field that is absent is neither
/// read nor written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallHeaders {
    /// Time left for the call in milliseconds, from callers and to upstreams.
    pub deadline_ms: &'static str,
    /// The caller's id of its request, which upstreams repeat in their answers.
    pub request_id: Option<&'static str>,
    /// Service beside the node that took the call, told to upstreams.
    pub caller_service: Option<&'static str>,
    /// Name of the only upstream that may run the call, told to upstreams.
    pub expected_upstream: Option<&'static str>,
    /// Set by an upstream that did not run the call.
    pub not_run: Option<&'static str>,
    /// Load figures in an upstream's answers: running, waiting, slots, and the time that work takes
    /// on its host in percent of the usual.
    pub load: Option<&'static str>,
}

impl Default for CallHeaders {
    fn default() -> Self {
        CallHeaders {
            deadline_ms: "x-gyard-deadline-ms",
            request_id: None,
            caller_service: None,
            expected_upstream: None,
            not_run: None,
            load: None,
        }
    }
}
