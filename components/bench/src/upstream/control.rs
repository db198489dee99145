//! Switches that change an upstream's behaviour at run time.

use super::{Shared, lock, repeated_calls};
use http::{Request, Response};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, atomic::Ordering};

/// Time that a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceTime {
    /// The same for every call.
    Fixed {
        /// Time in microseconds.
        us: u64,
    },
    /// Exponentially distributed.
    Exponential {
        /// Mean in microseconds.
        mean_us: u64,
    },
}

/// What an upstream does wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Factor on service times.
    pub slow_factor: f64,
    /// Replaces the configured service time.
    pub service_time: Option<ServiceTime>,
    /// Answers 503 instead of letting calls wait for a slot.
    pub shed: bool,
    /// Announces the state `draining`.
    pub drain: bool,
    /// Answers 500 at once.
    pub fail_fast: bool,
    /// Announces itself as unused.
    pub misreport: bool,
    /// Accepts calls and does not answer them until this is switched off.
    pub silent: bool,
    /// Sends no announcements.
    pub mute: bool,
}

impl Default for Switches {
    fn default() -> Self {
        Switches {
            slow_factor: 1.0,
            service_time: None,
            shed: false,
            drain: false,
            fail_fast: false,
            misreport: false,
            silent: false,
            mute: false,
        }
    }
}

#[derive(Serialize)]
struct Status {
    switches: Switches,
    in_flight: u32,
    queue: u32,
    executions: usize,
    crashes: u64,
    repeated: Vec<(String, String, usize)>,
}

/// What `GET /control` returns.
pub(super) fn status(shared: &Shared) -> String {
    let (in_flight, queue) = shared.slots.running_and_waiting();
    let executions = lock(&shared.executions).clone();
    let status = Status {
        switches: shared.switches(),
        in_flight,
        queue,
        executions: executions.len(),
        crashes: shared.crashes.load(Ordering::Acquire),
        repeated: repeated_calls(&executions),
    };
    serde_json::to_string(&status).unwrap_or_default()
}

/// `PUT /control` changes the fields in its JSON body and keeps the others; `GET` shows them.
pub(super) fn answer(shared: &Arc<Shared>, request: &Request) -> Response {
    match request.method.as_str() {
        "GET" => {}
        "PUT" => match merged(&shared.switches(), &request.body) {
            Ok(switches) => shared.update_switches(|current| *current = switches),
            Err(error) => return Response::new(400, format!("{error}\n")),
        },
        _ => return Response::new(405, "use GET or PUT\n"),
    }
    Response::new(200, status(shared)).with_header("content-type", "application/json")
}

fn merged(current: &Switches, body: &[u8]) -> Result<Switches, serde_json::Error> {
    let mut fields = serde_json::to_value(current)?;
    let change: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
    if let Some(fields) = fields.as_object_mut() {
        fields.extend(change);
    }
    serde_json::from_value(fields)
}
