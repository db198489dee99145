//! Plug-in `operator`: HTTP port for operators.

use crate::{
    context::{ControlContext, Refusal, ReplicaState},
    customers,
    operator_zones::{command_zone, list_zones, zone_in_path},
    reports::{STALE_AFTER_MS, merge_reports, nodes_with_instance, profiles_in_use},
};
use admin::{AdminResponse, PortLimits, error_response, json_response, metrics_response};
use api::{
    ChangeOp, ChangeRequest, ChangeResponse, DrainRequest, InstanceStatus, NodeStatus,
    ProfileEntry, ProfileList, ReplicaStatus, Status,
};
use errors::ErrorKind;
use http::Request;
use kernel::{Kernel, PluginEntry, Role, RunningPlugin, StartError};
use mesh::Channel;
use model::{FieldError, Profile, Revision, ServiceName};
use registry::{Change, ChangeId, Op, Record};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use subtle::ConstantTimeEq;
use wire::{ControlReply, ControlRequest, NodeReport, SyncReply, SyncRequest};

/// Timeout of a request to another process.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(700);

inventory::submit! {
    PluginEntry { name: "operator", role: Role::Control, order: 7, start }
}

/// Operators may share an address, but a client of another address keeps access.
const LIMITS: PortLimits = PortLimits {
    places_for_others: 32,
    ..PortLimits::DEFAULT
};

struct Operator {
    control: Arc<ControlContext>,
    token: Option<String>,
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let settings = kernel
        .control_settings()
        .ok_or_else(|| StartError::new("operator", "this process has no control settings"))?;
    let address = settings.operator_listen;
    let operator = Operator {
        control: ControlContext::for_kernel(kernel),
        token: settings.operator_token,
    };
    admin::serve(
        kernel,
        "operator",
        ("--operator-listen", address),
        &LIMITS,
        move |request| operator.handle_request(request),
    )
}

impl Operator {
    fn handle_request(&self, request: &Request) -> AdminResponse {
        if !self.is_allowed(request) {
            log::warn!("operator: a request without a valid token was refused.");
            return error_response(ErrorKind::Unauthorized, "");
        }
        let path = request.target.split('?').next().unwrap_or_default();
        let result = match (request.method.as_str(), path) {
            ("GET", "/v1/profiles") => self.list_profiles(),
            ("GET", path) if path.starts_with("/v1/profiles/") => {
                self.show_profile(&path["/v1/profiles/".len()..])
            }
            ("POST", "/v1/changes") => {
                parse_body(request).and_then(|body| self.submit_change(body))
            }
            ("POST", "/v1/drain") => {
                parse_body(request).and_then(|body| self.drain_instance(&body))
            }
            ("GET", "/v1/customers") => self.customers(),
            ("GET", "/v1/zones") => list_zones(&self.control, &self.reports()),
            (_, path) if zone_in_path(path).is_some() => command_zone(
                &self.control,
                request,
                zone_in_path(path).unwrap_or_default(),
            ),
            ("GET", "/v1/status") => self.status(),
            ("GET", "/metrics") => return self.render_metrics(),
            _ => Err((ErrorKind::NotFound, path.to_owned())),
        };
        match result {
            Ok(value) => json_response(200, &value),
            Err((kind, detail)) => error_response(kind, detail),
        }
    }

    /// Whether the request carries the configured token. Without a configured token, only requests
    /// from loopback are allowed.
    fn is_allowed(&self, request: &Request) -> bool {
        let Some(token) = &self.token else {
            return request.peer.ip().is_loopback();
        };
        let sent = request
            .headers
            .get("authorization")
            .and_then(|value| value.strip_prefix("Bearer "));
        sent.is_some_and(|sent| sent.as_bytes().ct_eq(token.as_bytes()).into())
    }

    fn render_metrics(&self) -> AdminResponse {
        let kernel = &self.control.kernel;
        admin::refresh_memory_metrics(kernel);
        kernel
            .metrics
            .revision
            .set(kernel.profiles.revision().number as i64);
        metrics_response(kernel.metrics.render())
    }

    fn list_profiles(&self) -> Result<Value, Refusal> {
        let newest = self.control.newest_configuration()?;
        let profiles = newest.records.iter().filter_map(profile_entry).collect();
        Ok(json!(ProfileList {
            revision: newest.to,
            profiles
        }))
    }

    fn show_profile(&self, name: &str) -> Result<Value, Refusal> {
        let newest = self.control.newest_configuration()?;
        let record = newest
            .records
            .iter()
            .find(|record| record.name().as_str() == name);
        match record.and_then(profile_entry) {
            Some(entry) => Ok(json!(entry)),
            None => Err((ErrorKind::UnknownProfile, name.to_owned())),
        }
    }

    fn submit_change(&self, body: ChangeRequest) -> Result<Value, Refusal> {
        let change_id = ChangeId::parse(&body.change_id)
            .map_err(|error| (ErrorKind::MalformedRequest, error.to_string()))?;
        let op = match body.op {
            ChangeOp::Add(profile) => Op::Add(validated(profile)?),
            ChangeOp::Update(profile) => Op::Update(validated(profile)?),
            ChangeOp::Retire { name, successor } => Op::Retire { name, successor },
        };
        let in_use = match &op {
            Op::Retire { .. } => profiles_in_use(&self.reports()),
            _ => Vec::new(),
        };
        let change = Change {
            change_id,
            expect: body.expect_revision,
            op,
            in_use,
        };
        let revision = self.control.submit(&change)?;
        Ok(json!(ChangeResponse {
            revision,
            profile_revision: revision.number,
            change_id: body.change_id,
        }))
    }

    fn drain_instance(&self, body: &DrainRequest) -> Result<Value, Refusal> {
        let reports = self.reports();
        let service = body.service.as_ref().map(ServiceName::as_str);
        let nodes = nodes_with_instance(&reports, body.instance.as_str(), service);
        let [node] = nodes[..] else {
            let detail = match nodes.len() {
                0 => format!("no live instance is named {}", body.instance),
                _ => format!(
                    "several services have an instance {}; name one",
                    body.instance
                ),
            };
            return Err((ErrorKind::NotFound, detail));
        };
        let request = SyncRequest::Drain {
            service: body.service.clone(),
            instance: body.instance.clone(),
        };
        match self
            .control
            .kernel
            .request_blocking(node.mesh, Channel::Sync, &request, PEER_TIMEOUT)
        {
            Some(SyncReply::Drained(true)) => {
                log::info!("operator: instance {} is draining.", body.instance);
                Ok(json!({ "instance": body.instance, "node": node.mesh, "state": "draining" }))
            }
            Some(_) => Err((
                ErrorKind::NotFound,
                format!("{} has left its node", body.instance),
            )),
            None => Err((
                ErrorKind::Busy,
                format!("the node at {} did not answer", node.mesh),
            )),
        }
    }

    fn status(&self) -> Result<Value, Refusal> {
        let newest = self.control.newest_configuration()?.to;
        Ok(json!(Status {
            leader: self
                .control
                .replica_state()
                .leader
                .and_then(|id| self.control.position_of(id.number)),
            revision: newest,
            replicas: self.replicas(),
            nodes: self
                .reports()
                .iter()
                .map(|report| node_status(report, newest))
                .collect(),
        }))
    }

    fn customers(&self) -> Result<Value, Refusal> {
        let newest = self.control.newest_configuration()?;
        let reports = self.reports();
        let list = customers::list(&self.control, &newest, &reports, self.peers());
        Ok(json!(list))
    }

    fn replicas(&self) -> Vec<ReplicaStatus> {
        let state = self.control.replica_state();
        let leader = state
            .leader
            .and_then(|id| self.control.position_of(id.number));
        let own = self.control.kernel.mesh.local_id().mesh;
        (1u32..)
            .zip(self.control.replicas())
            .map(|(replica, address)| {
                let is_self = address == own;
                let request_reports = || {
                    self.control
                        .request_peer(address, &ControlRequest::Reports, PEER_TIMEOUT)
                };
                ReplicaStatus {
                    replica,
                    address,
                    role: role_name(leader == Some(replica), is_self.then_some(&state)),
                    disk_id: is_self.then(|| format!("{:016x}", state.disk_id)),
                    matched: is_self.then_some(state.applied_index),
                    reachable: is_self || request_reports().is_some(),
                }
            })
            .collect()
    }

    /// The latest reports of all nodes, from all replicas that answer.
    fn reports(&self) -> Vec<NodeReport> {
        let control = &self.control;
        let mut lists = vec![control.reports.list(control.kernel.clock.now_us())];
        for peer in self.peers() {
            if let Some(ControlReply::Reports(list)) =
                self.control
                    .request_peer(peer, &ControlRequest::Reports, PEER_TIMEOUT)
            {
                lists.push(list);
            }
        }
        merge_reports(lists)
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let own = self.control.kernel.mesh.local_id().mesh;
        self.control
            .replicas()
            .into_iter()
            .filter(|address| *address != own)
            .collect()
    }
}

fn validated(profile: Profile) -> Result<Profile, Refusal> {
    match profile.check() {
        Ok(()) => Ok(profile),
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(FieldError::to_string).collect();
            Err((ErrorKind::InvalidProfile, lines.join("; ")))
        }
    }
}

fn parse_body<T: DeserializeOwned>(request: &Request) -> Result<T, Refusal> {
    serde_json::from_slice(&request.body)
        .map_err(|error| (ErrorKind::MalformedRequest, format!("body: {error}")))
}

fn profile_entry(record: &Record) -> Option<ProfileEntry> {
    Some(ProfileEntry {
        profile: record.live_profile()?.clone(),
        revision: record.revision,
        generation: record.generation,
    })
}

/// Role of a replica as shown to operators. Whether it is a voter and has disk space is known only
/// for this replica itself.
fn role_name(is_leader: bool, own: Option<&ReplicaState>) -> String {
    let role = match own {
        _ if is_leader => "leader",
        Some(state) if state.storage_error.is_some() => "follower, disk full",
        Some(state) if !state.is_voter => "joining",
        _ => "follower",
    };
    role.to_owned()
}

fn node_status(report: &NodeReport, newest: Revision) -> NodeStatus {
    let instances = report.instance.iter().map(|instance| InstanceStatus {
        name: instance.name.clone(),
        service: instance.service.clone(),
        state: instance.state,
        address: instance.address,
    });
    NodeStatus {
        node: report.node.mesh,
        host: report.host.clone(),
        availability_zone: report.availability_zone.clone(),
        revision: report.revision,
        in_effect: report.revision >= newest,
        age_ms: report.age_ms,
        stale: report.age_ms > STALE_AFTER_MS,
        instances: instances.collect(),
    }
}
