//! `route`: asks a node where a call would go.

use crate::{
    failure::Failure,
    operator_client::{OperatorClient, RequestError},
    options::RouteFlags,
};
use api::RouteAnswer;
use form_urlencoded::Serializer;
use std::{net::SocketAddr, time::Duration};

/// Asks the node in the flags about the call in the flags.
pub(crate) fn ask(flags: &RouteFlags, timeout: Duration) -> Result<RouteAnswer, Failure> {
    let required = |value: &Option<String>, flag: &str| {
        let value = value.clone();
        value.ok_or_else(|| {
            Failure::usage(format!(
                "give {flag}; --node, --host and --path are required"
            ))
        })
    };
    let node = required(&flags.node, "--node IP:PORT")?;
    let address: SocketAddr = node.parse().map_err(|_| {
        Failure::usage(format!(
            "--node is {node:?}; use the IP:PORT of the node's platform port"
        ))
    })?;
    let mut parameters = Serializer::new(String::new());
    parameters.append_pair("host", &required(&flags.host, "--host HOST")?);
    parameters.append_pair("path", &required(&flags.path, "--path PATH")?);
    let optional = [
        ("method", flags.method.clone()),
        ("customer", flags.customer.clone()),
        ("rank", flags.rank.map(|rank| rank.to_string())),
    ];
    for (name, value) in optional {
        if let Some(value) = value {
            parameters.append_pair(name, &value);
        }
    }
    let client = OperatorClient {
        addresses: vec![address],
        // The platform port has no token; the operators' must not be sent to it.
        token: None,
        timeout,
    };
    let path = format!("/v1/route?{}", parameters.finish());
    client.get(&path).map_err(|error| match error {
        RequestError::Refused(body) => Failure::Refused { body },
        RequestError::NoAnswer { attempts, .. } => Failure::NodeUnreachable { attempts },
    })
}
