//! Starts a deployment with instances and waits until requests are served.

use crate::{
    Play,
    deployment::{Deployment, Options},
    document::HOST,
    http::{Connection, Head, call, client_request},
    instance::Instance,
};
use std::{
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Longest wait for the deployment to serve.
const START: Duration = Duration::from_secs(30);

/// A running deployment with one instance beside each node.
pub struct Running {
    pub instances: Vec<Arc<Instance>>,
    pub deployment: Deployment,
}

/// Starts the programs, one instance beside each node, and the first configuration.
pub fn start<S>(play: &Play, options: Options, document: &str, serve: S) -> Result<Running, String>
where
    S: Fn(&Instance, &mut Connection, &Head) -> io::Result<()> + Clone + Send + Sync + 'static,
{
    let services = options.nodes.clone();
    let mut deployment =
        Deployment::new(&play.record, options).map_err(|error| error.to_string())?;
    deployment.start_all().map_err(|error| error.to_string())?;
    let mut instances = Vec::new();
    for (node, service) in (0..).zip(services) {
        let instance = Instance::start(
            &play.record,
            &format!("i-{node:02x}a"),
            service,
            deployment.application_address(node),
            deployment.heartbeat_address(node),
            serve.clone(),
        );
        instances.push(instance.map_err(|error| error.to_string())?);
    }
    instances.iter().for_each(Instance::start_heartbeats);
    if !deployment.configure(document, START) {
        return Err("no configuration was acknowledged".to_owned());
    }
    let running = Running {
        instances,
        deployment,
    };
    running.wait_until_ready()?;
    Ok(running)
}

impl Running {
    /// Waits until all nodes are ready.
    fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + START;
        for node in 0..self.instances.len() as u8 {
            while !self.deployment.is_ready(node) {
                if Instant::now() > until {
                    return Err(format!("node {node} doesn't become ready"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Waits until a request that begins at this node is served by an instance.
    pub fn wait_until_served(&self, node: u8, path: &str) -> Result<(), String> {
        let until = Instant::now() + START;
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let id = format!("warm-{node}-{number}");
            let request = client_request("GET", path, HOST, &id, 1_000, b"");
            let at = self.deployment.call_address(node);
            if call(at, &request, Duration::from_secs(2)).is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("node {node} serves no request"))
    }
}
