//! Sends the calls of a load run and classifies their answers.

use super::{CallOutcome, CallRecord, LoadConfig};
use crate::upstream::response_body;
use http::{CallError, CancelToken, Headers, Pool, Request, Response};
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

/// Sends single calls over one connection pool per target.
pub(super) struct Sender {
    config: LoadConfig,
    pools: Vec<Pool>,
}

impl Sender {
    pub(super) fn new(config: &LoadConfig, pools: Vec<Pool>) -> Self {
        Sender {
            config: config.clone(),
            pools,
        }
    }

    pub(super) fn connections_opened(&self) -> u64 {
        self.pools.iter().map(Pool::connections_opened).sum()
    }

    /// Sends a call and waits for its end. `at` is its intended time since the start of the run.
    pub(super) fn send(&self, number: u64, at: Duration, intended: Instant) -> CallRecord {
        let config = &self.config;
        let request_id = format!("{}-{number}", config.request_id_prefix);
        let request = self.request(&request_id);
        let pool = &self.pools[number as usize % self.pools.len()];
        let deadline = Duration::from_millis(config.deadline_ms);
        let give_up_at = intended + deadline + Duration::from_millis(config.grace_ms);
        let result = pool.call(&request, give_up_at, &CancelToken::new());
        let latency_us = intended.elapsed().as_micros() as u64;
        let (outcome, code) = match &result {
            Ok(response) => self.classify(&request_id, response),
            Err(error) => (error_outcome(*error), None),
        };
        CallRecord {
            request_id,
            method: request.method,
            outcome,
            code,
            at_us: at.as_micros() as u64,
            latency_us: match outcome {
                CallOutcome::Ok => latency_us,
                // A fast failure must not lower the latency quantiles.
                _ => latency_us.max(deadline.as_micros() as u64),
            },
        }
    }

    fn request(&self, request_id: &str) -> Request {
        let config = &self.config;
        let mut headers = Headers::new();
        headers.append("host", config.service.as_str());
        headers.append("x-gyard-service", config.service.as_str());
        headers.append("x-request-id", request_id);
        headers.append("x-bench-bytes", config.response_bytes.to_string());
        if config.send_deadline {
            headers.append("x-gyard-deadline-ms", config.deadline_ms.to_string());
        }
        if config.send_idempotency_key {
            headers.append("idempotency-key", request_id);
        }
        for (name, value) in &config.headers {
            headers.append(name.as_str(), value.as_str());
        }
        Request {
            method: config.method.clone(),
            target: config.target.clone(),
            headers,
            body: vec![b'x'; config.body_bytes],
            peer: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        }
    }

    /// Outcome of an answered call, and the error code or status if it failed.
    fn classify(&self, request_id: &str, response: &Response) -> (CallOutcome, Option<String>) {
        if let Some(outcome) = response.headers.get("x-gyard-outcome") {
            let code = error_code(&response.body);
            return match outcome {
                "not-run" => (CallOutcome::NotRun, code),
                _ => (CallOutcome::Unknown, code),
            };
        }
        if response.headers.get("x-request-id") != Some(request_id) {
            return (CallOutcome::Mismatch, None);
        }
        if !(200..300).contains(&response.status) {
            let code = Some(format!("status-{}", response.status));
            return (CallOutcome::UpstreamError, code);
        }
        let expected = match self.config.method.as_str() {
            "HEAD" => Vec::new(),
            _ => response_body(request_id, self.config.response_bytes),
        };
        if response.body == expected {
            (CallOutcome::Ok, None)
        } else {
            (CallOutcome::Mismatch, None)
        }
    }
}

fn error_outcome(error: CallError) -> CallOutcome {
    match error {
        CallError::NotSent => CallOutcome::NotSent,
        CallError::Truncated => CallOutcome::CutOff,
        CallError::ConnectionLost => CallOutcome::Lost,
        CallError::TimedOut | CallError::Cancelled => CallOutcome::TimedOut,
        CallError::TooLarge | CallError::Malformed | CallError::Mismatched => CallOutcome::Mismatch,
    }
}

/// Error code in the body of the load balancer's own response.
fn error_code(body: &[u8]) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    Some(value.get("error")?.as_str()?.to_owned())
}
