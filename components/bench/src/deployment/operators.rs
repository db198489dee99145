//! The operators' requests to the replicas of a deployment.

use super::{CONDITION_TIMEOUT, Deployment, DeploymentError, POLL_INTERVAL};
use config::Configuration;
use control::OperatorApi;
use model::{Profile, Revision};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Timeout of one request to an operator port.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);

impl Deployment {
    /// Addresses of the operator ports of the running replicas.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.replicas
            .iter()
            .filter(|process| process.handle.is_some())
            .map(|process| process.settings.operator_listen)
            .collect()
    }

    /// A client of the operator ports of all replicas, running or not. It can be used by other
    /// threads.
    pub fn operator_client(&self) -> OperatorClient {
        OperatorClient {
            addresses: self
                .replicas
                .iter()
                .map(|process| process.settings.operator_listen)
                .collect(),
        }
    }

    /// A client of one replica's operator port.
    pub fn operator_client_for_replica(&self, index: usize) -> OperatorClient {
        OperatorClient {
            addresses: vec![self.replicas[index].settings.operator_listen],
        }
    }

    /// Index of the leader among the replicas.
    pub fn leader(&self) -> Result<usize, DeploymentError> {
        let status = self.status()?;
        let number = status["leader"].as_u64().ok_or(DeploymentError::TimedOut {
            condition: "a leader",
        })?;
        Ok(number as usize - 1)
    }

    /// Submits a whole configuration at any running replica.
    pub fn configure(&self, configuration: &Configuration) -> Result<Revision, DeploymentError> {
        let until = Instant::now() + CONDITION_TIMEOUT;
        loop {
            let running = self
                .replicas
                .iter()
                .filter_map(|process| process.handle.as_ref());
            for handle in running {
                let api = OperatorApi::new(handle.kernel());
                match api.configure(configuration.clone()) {
                    Ok(revision) => return Ok(revision),
                    Err((kind, detail)) if Instant::now() >= until => {
                        let reason = format!("{kind}: {detail}");
                        return Err(DeploymentError::Operator { reason });
                    }
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        }
    }

    /// Adds a profile and returns the revision number.
    pub fn add_profile(&self, profile: &Profile) -> Result<u64, DeploymentError> {
        let id = format!("add-{}", profile.name);
        self.submit_change(&id, None, &json!({ "add": profile }))
    }

    /// Submits a change and returns the revision number. Retries use the same change id, so that
    /// the change is made only once.
    pub fn submit_change(
        &self,
        change_id: &str,
        expect: Option<u64>,
        op: &Value,
    ) -> Result<u64, DeploymentError> {
        let body = json!({ "change_id": change_id, "expect_revision": expect, "op": op });
        let answer = self.operator_request("POST", "/v1/changes", Some(&body))?;
        let number = answer["revision"]["number"].as_u64();
        number.ok_or_else(|| DeploymentError::Operator {
            reason: answer.to_string(),
        })
    }

    /// The customers, with their use of quotas at all nodes.
    pub fn customers(&self) -> Result<Value, DeploymentError> {
        self.operator_request("GET", "/v1/customers", None)
    }

    /// The group's status.
    pub fn status(&self) -> Result<Value, DeploymentError> {
        self.operator_request("GET", "/v1/status", None)
    }

    /// Sends an operator's request to the running replicas in turn until one answers with a status
    /// below 500; only status 200 is a success.
    pub fn operator_request(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, DeploymentError> {
        let addresses = self.operator_addresses();
        match (OperatorClient { addresses }).send(method, path, body)? {
            (200, value) => Ok(value),
            (_, value) => Err(DeploymentError::Operator {
                reason: value.to_string(),
            }),
        }
    }
}

/// Client of the operators' HTTP interface that tries several replicas in turn.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
}

impl OperatorClient {
    /// Sends a request to the replicas in turn until one answers with a status below 500.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Value), DeploymentError> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        let mut reason = "no replica is running".to_owned();
        while Instant::now() < deadline {
            for address in &self.addresses {
                match send_operator_request(*address, method, path, body) {
                    Ok((status, value)) if status < 500 => return Ok((status, value)),
                    Ok((_, value)) => reason = value.to_string(),
                    Err(error) => reason = error.to_string(),
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(DeploymentError::Operator { reason })
    }
}

fn send_operator_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Result<(u16, Value), attohttpc::Error> {
    let url = format!("http://{address}{path}");
    let request = match method {
        "GET" => attohttpc::get(url),
        "DELETE" => attohttpc::delete(url),
        _ => attohttpc::post(url),
    };
    let text = body.map(Value::to_string).unwrap_or_default();
    let response = request.timeout(OPERATOR_TIMEOUT).text(text).send()?;
    let status = response.status().as_u16();
    let text = response.text()?;
    Ok((
        status,
        serde_json::from_str(&text).unwrap_or(Value::String(text)),
    ))
}
