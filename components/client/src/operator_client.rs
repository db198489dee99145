//! HTTP client for the operator ports of the control group, with failover between replicas.

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
/// Pause before the next round after all replicas failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Sends the requests of one command to the replicas.
pub(crate) struct OperatorClient {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) token: Option<String>,
    /// Longest time for all attempts at one request.
    pub(crate) timeout: Duration,
}

/// Why a request failed after all attempts.
#[derive(Debug)]
pub(crate) enum RequestError {
    /// A replica refused the request and did nothing.
    Refused(Box<ErrorBody>),
    /// No replica gave a definite answer. `is_unsent` means that no replica received the request.
    NoAnswer {
        attempts: Vec<String>,
        is_unsent: bool,
    },
}

impl RequestError {
    /// Converts the error of a request that can be repeated without harm, or that was not sent.
    pub(crate) fn into_failure(self) -> Failure {
        match self {
            RequestError::Refused(body) => Failure::Refused { body },
            RequestError::NoAnswer { attempts, .. } => Failure::Unreachable { attempts },
        }
    }
}

/// Result of sending a request to one replica.
enum Attempt<T> {
    Answered(T),
    Refused(ErrorBody),
    /// The replica can't serve the request, but another one may.
    RetryElsewhere(ErrorBody),
    /// The request was not sent.
    Unsent(String),
    /// There is no valid answer, but the replica may have received the request.
    NoAnswer(String),
}

impl OperatorClient {
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, RequestError> {
        self.request(&Method::GET, path, &[])
    }

    pub(crate) fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, RequestError> {
        let body = serde_json::to_vec(body).expect("plain data encodes");
        self.request(&Method::POST, path, &body)
    }

    pub(crate) fn delete<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, RequestError> {
        let body = serde_json::to_vec(body).expect("plain data encodes");
        self.request(&Method::DELETE, path, &body)
    }

    /// Sends the same request to the replicas in turn until one answers or the timeout has passed.
    fn request<T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<T, RequestError> {
        let deadline = Instant::now() + self.timeout;
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
                    Attempt::Refused(body) => return Err(RequestError::Refused(Box::new(body))),
                    Attempt::RetryElsewhere(body) => {
                        let line = format!("{address}: {} {}", body.message, body.detail);
                        attempts.push(line.trim_end().to_owned());
                        // A replica forwards a change to the leader and may have lost the leader's
                        // answer before it refused. Even "not leader" does not prove that the
                        // change was not accepted.
                        is_unsent = false;
                        prefer_leader(&mut queue, &tried, &body);
                    }
                    Attempt::Unsent(reason) => attempts.push(format!("{address}: {reason}")),
                    Attempt::NoAnswer(reason) => {
                        is_unsent = false;
                        attempts.push(format!("{address}: {reason}"));
                    }
                }
            }
            if Instant::now() + RETRY_PAUSE >= deadline {
                return Err(RequestError::NoAnswer {
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
            Err(error) => return Attempt::NoAnswer(error.to_string()),
        };
        let is_success = response.is_success();
        let bytes = match response.bytes() {
            Ok(bytes) => bytes,
            Err(error) => return Attempt::NoAnswer(format!("the response was truncated: {error}")),
        };
        if is_success {
            return match serde_json::from_slice(&bytes) {
                Ok(answer) => Attempt::Answered(answer),
                Err(error) => Attempt::NoAnswer(format!("the response can't be parsed: {error}")),
            };
        }
        match serde_json::from_slice::<ErrorBody>(&bytes) {
            Ok(body) if may_succeed_elsewhere(&body) => Attempt::RetryElsewhere(body),
            Ok(body) => Attempt::Refused(body),
            Err(error) => Attempt::NoAnswer(format!("the error response can't be parsed: {error}")),
        }
    }
}

/// Whether the connection could not be opened, so that no byte of the request was sent.
fn is_connect_error(error: &attohttpc::Error) -> bool {
    match error.kind() {
        attohttpc::ErrorKind::ConnectNotSupported | attohttpc::ErrorKind::ConnectError { .. } => {
            true
        }
        attohttpc::ErrorKind::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn error_kind(code: &str) -> Option<ErrorKind> {
    let mut kinds = ErrorKind::ALL.iter().copied();
    kinds.find(|kind| kind.info().code == code)
}

/// Whether another replica may serve a request that was refused with this error.
fn may_succeed_elsewhere(body: &ErrorBody) -> bool {
    let Some(kind) = error_kind(&body.error) else {
        return false;
    };
    let is_replica_problem = matches!(
        kind,
        ErrorKind::NotLeader
            | ErrorKind::NoQuorum
            | ErrorKind::Busy
            | ErrorKind::Stopping
            | ErrorKind::StorageFull
            | ErrorKind::StorageDamaged
    );
    is_replica_problem || kind.info().outcome == Outcome::Unknown
}

/// Puts the leader that a replica named at the front of the queue, even if it isn't among the
/// configured addresses.
fn prefer_leader(queue: &mut Vec<SocketAddr>, tried: &[SocketAddr], body: &ErrorBody) {
    if error_kind(&body.error) != Some(ErrorKind::NotLeader) {
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
