//! Requests to the operator ports of the control group, with fail-over.

use crate::failure::Failure;
use api::ErrorBody;
use attohttpc::{Method, ProxySettings, RequestBuilder};
use errors::{ErrorKind, Outcome};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for one answer; a replica answers a change after at most 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after all replicas failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Operator ports, token and patience of one command.
pub(crate) struct Operators {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) token: Option<String>,
    pub(crate) timeout: Duration,
}

/// Result of all attempts at one request.
#[derive(Debug)]
pub(crate) enum Failed {
    /// A replica refused, and nothing was done.
    Refused(Box<ErrorBody>),
    /// No replica gave a definite answer. `is_unsent` tells that none got the request.
    NoAnswer {
        attempts: Vec<String>,
        is_unsent: bool,
    },
}

impl Failed {
    /// The failure of a request without effects.
    pub(crate) fn of_read(self) -> Failure {
        match self {
            Failed::Refused(body) => Failure::Refused { body },
            Failed::NoAnswer { attempts, .. } => Failure::Unreachable { attempts },
        }
    }
}

/// One answer or the lack of it.
enum Attempt<T> {
    Answered(T),
    Refused(ErrorBody),
    /// The replica can't serve the request; another may.
    Elsewhere(ErrorBody),
    /// Nothing reached the replica.
    Unsent(String),
    /// The request may have reached the replica.
    Lost(String),
}

impl Operators {
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failed> {
        self.request(&Method::GET, path, &[])
    }

    pub(crate) fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failed> {
        let body = serde_json::to_vec(body).expect("plain data encodes");
        self.request(&Method::POST, path, &body)
    }

    /// Tries the replicas in turn, with the same body, until one answers or the time is over.
    fn request<T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<T, Failed> {
        let until = Instant::now() + self.timeout;
        let mut attempts = Vec::new();
        let mut is_unsent = true;
        loop {
            let mut queue = self.addresses.clone();
            let mut tried = Vec::new();
            attempts.clear();
            while let Some(address) = (!queue.is_empty()).then(|| queue.remove(0)) {
                tried.push(address);
                match self.attempt(method, address, path, body) {
                    Attempt::Answered(answer) => return Ok(answer),
                    Attempt::Refused(body) => return Err(Failed::Refused(Box::new(body))),
                    Attempt::Elsewhere(body) => {
                        let line = format!("{address}: {} {}", body.message, body.detail);
                        attempts.push(line.trim_end().to_owned());
                        // A replica passes a change on to the leader and may have lost its
                        // answer before it refused, so that even "not leader" is no proof.
                        is_unsent = false;
                        prefer_leader(&mut queue, &tried, &body);
                    }
                    Attempt::Unsent(reason) => attempts.push(format!("{address}: {reason}")),
                    Attempt::Lost(reason) => {
                        is_unsent = false;
                        attempts.push(format!("{address}: {reason}"));
                    }
                }
            }
            if Instant::now() + RETRY_PAUSE >= until {
                return Err(Failed::NoAnswer {
                    attempts,
                    is_unsent,
                });
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    fn attempt<T: DeserializeOwned>(
        &self,
        method: &Method,
        address: SocketAddr,
        path: &str,
        body: &[u8],
    ) -> Attempt<T> {
        let url = format!("http://{address}{path}");
        let mut request = RequestBuilder::new(method.clone(), url)
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(REQUEST_TIMEOUT)
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .header("content-type", "application/json");
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let response = match request.bytes(body).send() {
            Ok(response) => response,
            Err(error) if is_connect_error(&error) => return Attempt::Unsent(error.to_string()),
            Err(error) => return Attempt::Lost(error.to_string()),
        };
        let is_success = response.is_success();
        let bytes = match response.bytes() {
            Ok(bytes) => bytes,
            Err(error) => return Attempt::Lost(format!("the answer was cut short: {error}")),
        };
        if is_success {
            return match serde_json::from_slice(&bytes) {
                Ok(answer) => Attempt::Answered(answer),
                Err(error) => Attempt::Lost(format!("the answer can't be read: {error}")),
            };
        }
        match serde_json::from_slice::<ErrorBody>(&bytes) {
            Ok(body) if may_succeed_elsewhere(&body) => Attempt::Elsewhere(body),
            Ok(body) => Attempt::Refused(body),
            Err(error) => Attempt::Lost(format!("the refusal can't be read: {error}")),
        }
    }
}

/// Whether the connection failed, so that no byte of the request was sent.
fn is_connect_error(error: &attohttpc::Error) -> bool {
    match error.kind() {
        attohttpc::ErrorKind::ConnectNotSupported | attohttpc::ErrorKind::ConnectError { .. } => {
            true
        }
        attohttpc::ErrorKind::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn kind(code: &str) -> Option<ErrorKind> {
    let mut kinds = ErrorKind::ALL.iter().copied();
    kinds.find(|kind| kind.info().code == code)
}

fn may_succeed_elsewhere(body: &ErrorBody) -> bool {
    let Some(kind) = kind(&body.error) else {
        return false;
    };
    let is_local = matches!(
        kind,
        ErrorKind::NotLeader
            | ErrorKind::NoQuorum
            | ErrorKind::Busy
            | ErrorKind::Stopping
            | ErrorKind::StorageFull
            | ErrorKind::StorageDamaged
    );
    is_local || kind.info().outcome == Outcome::Unknown
}

/// Puts the leader that a replica named first, even if it isn't among the given addresses.
fn prefer_leader(queue: &mut Vec<SocketAddr>, tried: &[SocketAddr], body: &ErrorBody) {
    if kind(&body.error) != Some(ErrorKind::NotLeader) {
        return;
    }
    let is_separator = |c: char| c.is_whitespace() || c == ',' || c == ';';
    let mut words = body.detail.split(is_separator);
    let Some(leader) = words.find_map(|word| word.parse::<SocketAddr>().ok()) else {
        return;
    };
    if !tried.contains(&leader) {
        queue.retain(|address| *address != leader);
        queue.insert(0, leader);
    }
}
