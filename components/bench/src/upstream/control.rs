//! Switches that change a test upstream's behaviour at run time, and the HTTP path `/control` that
//! sets them.

use super::{Shared, lock, repeated_calls};
use http::{Request, Response};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, atomic::Ordering};

/// Distribution of the time that a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceTime {
    /// The same time for every call.
    Fixed {
        /// Time that each call takes, in microseconds.
        us: u64,
    },
    /// Exponentially distributed times.
    Exponential {
        /// Mean of the distribution in microseconds.
        mean_us: u64,
    },
}

/// Faults and other behaviour that can be switched on while an upstream runs.
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
    /// Announces that no call runs or waits, whatever the truth.
    pub misreport: bool,
    /// Accepts calls and does not answer them until this is switched off.
    pub silent: bool,
    /// Share of the calls whose connection is closed after their run, without an answer.
    pub drop_percent: u8,
    /// Sends no announcements.
    pub mute: bool,
    /// Never answers a call that finds no free slot, instead of letting it wait.
    pub hang_full: bool,
    /// Share of the calls that are never answered although slots are free, in percent.
    pub hang_percent: u8,
    /// Runs a call to its end although its caller has disconnected.
    pub ignores_disconnects: bool,
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
            drop_percent: 0,
            mute: false,
            hang_full: false,
            hang_percent: 0,
            ignores_disconnects: false,
        }
    }
}

/// Body of the answer to `GET /control`.
#[derive(Serialize)]
struct Status {
    switches: Switches,
    in_flight: u32,
    queue: u32,
    executions: usize,
    crashes: u64,
    repeated: Vec<(String, String, usize)>,
}

/// Switches and counters as JSON, as `GET /control` returns them.
pub(super) fn status_json(shared: &Shared) -> String {
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

/// Handles `/control`: `GET` shows the switches, `PUT` changes those in its JSON body and keeps the
/// others.
pub(super) fn handle_control_request(shared: &Arc<Shared>, request: &Request) -> Response {
    match request.method.as_str() {
        "GET" => {}
        "PUT" => match merge_switches(&shared.switches(), &request.body) {
            Ok(switches) => shared.update_switches(|current| *current = switches),
            Err(error) => return Response::new(400, format!("{error}\n")),
        },
        _ => return Response::new(405, "use GET or PUT\n"),
    }
    Response::new(200, status_json(shared)).with_header("content-type", "application/json")
}

fn merge_switches(current: &Switches, body: &[u8]) -> Result<Switches, serde_json::Error> {
    let mut fields = serde_json::to_value(current)?;
    let change: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
    if let Some(fields) = fields.as_object_mut() {
        fields.extend(change);
    }
    serde_json::from_value(fields)
}
