//! Guards evacuations of availability zones. Failures would be: a call is sent to an evacuated zone,
//! a call that waits there is lost or runs twice, an accepted command is lost when a replica fails or
//! all restart, or a resent command undoes a later one.

use bench::{
    deployment::{Deployment, OperatorClient},
    upstream::{ServiceTime, Upstream},
};
use model::Revision;
use serde_json::{Value, json};
use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

mod system;
use system::{
    describe_result, execution_count, profile, request, send, send_in_background, start_deployment,
    start_upstream, start_upstreams, test_lock, wait_until, wait_until_served,
};

/// Longest time from the answer to a command until it is in effect at every node.
const IN_EFFECT_LIMIT: Duration = Duration::from_secs(5);
const OPERATORS: usize = 3;
const ROUNDS: usize = 8;

/// Sends a command and returns its status and the revision that the answer names.
fn command(
    operators: &OperatorClient,
    method: &str,
    zone: &str,
    change_id: Option<&str>,
) -> (u16, Option<Revision>) {
    let body = change_id.map(|id| json!({ "change_id": id }));
    let path = format!("/v1/zones/{zone}/evacuation");
    let (status, answer) = operators.send(method, &path, body.as_ref()).unwrap();
    (
        status,
        serde_json::from_value(answer["revision"].clone()).ok(),
    )
}

fn accepted(operators: &OperatorClient, method: &str, zone: &str) -> Revision {
    let (status, revision) = command(operators, method, zone, None);
    assert_eq!(status, 200);
    revision.unwrap()
}

/// Waits until all nodes have the revision in effect, and checks the limit on that time.
fn wait_in_effect(deployment: &Deployment, revision: Revision) {
    let answered = Instant::now();
    for node in 0..deployment.node_count() {
        wait_until("the command is in effect", || {
            deployment.node(node).profiles.revision() >= revision
        });
    }
    assert!(answered.elapsed() < IN_EFFECT_LIMIT);
}

/// The evacuated zones as the operator port lists them.
fn evacuated(operators: &OperatorClient) -> BTreeSet<String> {
    let (status, list) = operators.send("GET", "/v1/zones", None).unwrap();
    assert_eq!(status, 200, "{list}");
    let zones = list["zones"].as_array().unwrap();
    let is_evacuated = |zone: &&Value| zone["evacuated"] == true;
    let name = |zone: &Value| zone["zone"].as_str().unwrap().to_owned();
    zones.iter().filter(is_evacuated).map(name).collect()
}

/// Runs of calls that were sent now through all nodes.
fn call_all_nodes(deployment: &Deployment, prefix: &str) -> Vec<String> {
    let mut ids = Vec::new();
    for number in 0..30 {
        let id = format!("{prefix}-{number}");
        let at = deployment.call_address(number % deployment.node_count());
        let answer = send(at, &request(&id, "POST", &[], ""));
        assert_eq!(describe_result(&answer), "200 from the upstream", "{id}");
        ids.push(id);
    }
    ids
}

fn runs_at(upstream: &Upstream, ids: &[String]) -> usize {
    let executions = upstream.executions();
    let is_one = |id: &String| executions.iter().any(|run| run.request_id == *id);
    ids.iter().filter(|id| is_one(id)).count()
}

#[test]
fn calls_avoid_zone() {
    let _lock = test_lock();
    let deployment = start_deployment(3);
    let operators = deployment.operator_client();
    let upstreams = start_upstreams(&deployment, 3);
    wait_until_served(&deployment, 0);
    let revision = accepted(&operators, "POST", "zone-1");
    assert_eq!(accepted(&operators, "POST", "zone-1"), revision, "again");
    wait_in_effect(&deployment, revision);
    let ids = call_all_nodes(&deployment, "evacuated");
    assert_eq!(runs_at(&upstreams[0], &ids), 0);
    assert_eq!(deployment.node(0).metrics.evacuated_zones.get(), 1);

    // Entries of all zones, the evacuated one included, refuse calls if no zone is left.
    accepted(&operators, "POST", "zone-2");
    wait_in_effect(&deployment, accepted(&operators, "POST", "zone-3"));
    for node in 0..3 {
        let answer = send(
            deployment.call_address(node),
            &request("nowhere", "GET", &[], ""),
        )
        .unwrap();
        assert_eq!(
            describe_result(&Ok(answer.clone())),
            "503 no-upstream not-run"
        );
        assert!(answer.headers.get("retry-after").is_some());
    }
    for zone in ["zone-1", "zone-2"] {
        accepted(&operators, "DELETE", zone);
    }
    wait_in_effect(&deployment, accepted(&operators, "DELETE", "zone-3"));
    wait_until("calls reach the readmitted zone", || {
        let ids = call_all_nodes(&deployment, &format!("{:?}", Instant::now()));
        runs_at(&upstreams[0], &ids) > 0
    });
}

/// Names that no zone can have are refused; zones that no node is in are accepted.
#[test]
fn names_of_zones() {
    let _lock = test_lock();
    let deployment = start_deployment(1);
    let operators = deployment.operator_client();
    for zone in ["Zone-1", "zone%201", "-", &"z".repeat(64)] {
        assert_eq!(command(&operators, "POST", zone, None).0, 400, "{zone}");
        assert_eq!(command(&operators, "DELETE", zone, None).0, 400, "{zone}");
    }
    let before = deployment.node(0).profiles.revision();
    assert_eq!(accepted(&operators, "DELETE", "zone-9"), before);
    accepted(&operators, "POST", "zone-9");
    assert_eq!(evacuated(&operators), BTreeSet::from(["zone-9".to_owned()]));
    let bad_id = command(&operators, "POST", "zone-9", Some(""));
    assert_eq!(bad_id.0, 400);
}

/// Running calls run to completion, calls that wait move to another zone, and each runs once.
#[test]
fn waiting_calls_move() {
    let _lock = test_lock();
    let deployment = start_deployment(2);
    let operators = deployment.operator_client();
    let mut patient = profile("patient");
    patient.deadline_ms = 10_000;
    let number = deployment.add_profile(&patient).unwrap();
    deployment.wait_for_revision(number).unwrap();
    let mut upstreams = vec![start_upstream(&deployment, 0, |config| {
        config.slots = 1;
        config.service_time = ServiceTime::Fixed { us: 8_000_000 };
        config.rules[0].profile = "patient".to_owned();
    })];
    deployment.wait_for_upstreams(1).unwrap();
    let at = deployment.call_address(1);
    let ids: Vec<String> = (0..4).map(|number| format!("wait-{number}")).collect();
    let running = send_in_background(at, request(&ids[0], "POST", &[], ""));
    wait_until("the first call runs", || {
        execution_count(&upstreams, &ids[0]) == 1
    });
    let waiting: Vec<_> = ids[1..]
        .iter()
        .map(|id| send_in_background(at, request(id, "POST", &[], "")))
        .collect();
    wait_until("the other calls wait", || {
        deployment.node(0).metrics.queued.get() == 3
    });
    upstreams.push(start_upstream(&deployment, 1, |config| {
        config.rules[0].profile = "patient".to_owned();
    }));
    deployment.wait_for_upstreams(2).unwrap();
    wait_in_effect(&deployment, accepted(&operators, "POST", "zone-1"));
    for call in waiting {
        let answer = call.join().unwrap();
        assert_eq!(describe_result(&answer), "200 from the upstream");
    }
    assert!(
        !running.is_finished(),
        "the calls moved while one still ran"
    );
    let answer = running.join().unwrap();
    assert_eq!(describe_result(&answer), "200 from the upstream");
    assert_eq!(runs_at(&upstreams[0], &ids), 1);
    assert_eq!(runs_at(&upstreams[1], &ids), 3);
    for id in &ids {
        assert_eq!(execution_count(&upstreams, id), 1, "{id}");
    }
    assert_eq!(deployment.node(0).metrics.evacuation_refused.get(), 3);
}

/// A resent command has no effect after a later one, also if the leader has changed meanwhile.
#[test]
fn resent_command() {
    let _lock = test_lock();
    let mut deployment = start_deployment(1);
    let operators = deployment.operator_client();
    let first = command(&operators, "POST", "zone-1", Some("first"));
    assert_eq!(command(&operators, "POST", "zone-1", Some("first")), first);
    let readmit = command(&operators, "DELETE", "zone-1", Some("second"));
    let leader = deployment.leader().unwrap();
    deployment.kill_replica(leader);
    let survivors = deployment.operator_client();
    assert_eq!(command(&survivors, "POST", "zone-1", Some("first")), first);
    assert_eq!(
        command(&survivors, "DELETE", "zone-1", Some("second")),
        readmit
    );
    assert_eq!(evacuated(&survivors), BTreeSet::new());
    // An id stands for one command.
    assert_ne!(
        command(&survivors, "DELETE", "zone-1", Some("first")).0,
        200
    );
}

/// Operators race over the same zones while leaders are killed; then all replicas restart from their
/// disks. The state is the one that the accepted commands lead to in the order of their revisions.
#[test]
fn race_and_restart() {
    let _lock = test_lock();
    let mut deployment = start_deployment(1);
    let accepted: Mutex<Vec<(Revision, String, bool)>> = Mutex::default();
    let operators = deployment.operator_client();
    thread::scope(|scope| {
        for operator in 0..OPERATORS {
            let (operators, accepted) = (&operators, &accepted);
            scope.spawn(move || {
                for round in 0..ROUNDS {
                    let is_evacuated = (round + operator).is_multiple_of(2);
                    let method = if is_evacuated { "POST" } else { "DELETE" };
                    let zone = format!("zone-{}", round % 3 + 1);
                    let id = format!("op-{operator}-{round}");
                    let (status, revision) = command(operators, method, &zone, Some(&id));
                    assert_eq!(status, 200, "{id}");
                    let again = command(operators, method, &zone, Some(&id));
                    assert_eq!(again, (200, revision), "{id}");
                    let entry = (revision.unwrap(), zone, is_evacuated);
                    accepted.lock().unwrap().push(entry);
                }
            });
        }
        for _ in 0..2 {
            thread::sleep(Duration::from_millis(200));
            if let Ok(leader) = deployment.leader() {
                deployment.kill_replica(leader);
                thread::sleep(Duration::from_millis(500));
                deployment.start_replica(leader).unwrap();
            }
        }
    });
    // At the revision in its answer, a zone is in the state that the command asked for, whether that
    // command changed it or found it so.
    let mut last: BTreeMap<String, (Revision, bool)> = BTreeMap::new();
    for (revision, zone, is_evacuated) in accepted.into_inner().unwrap() {
        let (at, state) = last.entry(zone).or_insert((revision, is_evacuated));
        match revision.number.cmp(&at.number) {
            Ordering::Less => (),
            Ordering::Equal => assert_eq!(*state, is_evacuated, "two states at {revision}"),
            Ordering::Greater => (*at, *state) = (revision, is_evacuated),
        }
    }
    let expected: BTreeSet<String> = last
        .into_iter()
        .filter_map(|(zone, (_, is_evacuated))| is_evacuated.then_some(zone))
        .collect();
    assert_eq!(evacuated(&operators), expected);
    for replica in 0..3 {
        deployment.kill_replica(replica);
    }
    for replica in 0..3 {
        deployment.start_replica(replica).unwrap();
    }
    assert_eq!(evacuated(&deployment.operator_client()), expected);
    wait_until("the node has the same zones", || {
        let zones = deployment.node(0).profiles.evacuated_zones();
        zones
            .iter()
            .map(ToString::to_string)
            .collect::<BTreeSet<_>>()
            == expected
    });
}
