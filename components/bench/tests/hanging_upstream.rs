//! Guards against requests that are sent to an upstream which is full and never answers them: after
//! calls that were cut off but run on, and after a restart of the node. Also guards against idempotent
//! calls that wait for their deadline at an upstream which hangs part of its calls.

mod system;

use bench::{
    deployment::Deployment,
    upstream::{LOAD_HEADER, ServiceTime, Upstream},
};
use http::{CancelToken, Pool, PoolConfig};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};
use system::{
    describe_result, request, send, start_deployment, start_upstream, test_lock, wait_until,
    wait_until_served,
};

const SLOTS: u32 = 2;
/// Time that a call takes; callers leave earlier.
const SERVICE: ServiceTime = ServiceTime::Fixed { us: 300_000 };
const CALLER_LEAVES_AFTER: Duration = Duration::from_millis(40);
/// Calls after which the answer times of a profile are known.
const WARM_UP_CALLS: usize = 240;
const WARM_UP_CALLERS: usize = 8;
const CALLS: usize = 200;
const HEALTH_CHECKS_PER_S: u32 = 20;

/// Starts nodes with these settings.
fn start_nodes(count: usize, count_lost_work: bool, give_up_percent: u8) -> Deployment {
    let mut deployment = start_deployment(count);
    for node in 0..count {
        deployment.kill_node(node);
        let settings = deployment.node_settings(node);
        settings.headers.load = Some(LOAD_HEADER);
        settings.health_checks_per_s = HEALTH_CHECKS_PER_S;
        settings.count_lost_work = count_lost_work;
        settings.give_up_percent = give_up_percent;
        deployment.start_node(node).unwrap();
    }
    deployment
}

/// An upstream beside node 0 that hangs when it is full and runs calls on whose callers have left.
fn start_full_hanging(deployment: &Deployment) -> Upstream {
    let upstream = start_upstream(deployment, 0, |config| config.slots = SLOTS);
    deployment.wait_for_upstreams(1).unwrap();
    wait_until_served(deployment, 0);
    upstream.update_switches(|switches| {
        switches.service_time = Some(SERVICE);
        switches.hang_full = true;
        switches.ignores_disconnects = true;
    });
    upstream
}

/// Sends a call whose caller leaves before its answer.
fn send_and_leave(address: SocketAddr, id: &str) {
    let headers = [("x-gyard-deadline-ms", "1000")];
    let pool = Pool::new(PoolConfig::new(address));
    let until = Instant::now() + CALLER_LEAVES_AFTER;
    let call = request(id, "POST", &headers, "");
    let _ = pool.call(&call, until, &CancelToken::new());
}

#[test]
fn calls_that_run_on() {
    let _lock = test_lock();
    let deployment = start_nodes(1, true, 0);
    let upstream = start_full_hanging(&deployment);
    let address = deployment.call_address(0);
    thread::scope(|scope| {
        for caller in 0..4 {
            scope.spawn(move || {
                for call in 0..20 {
                    send_and_leave(address, &format!("left-{caller}-{call}"));
                }
            });
        }
    });
    assert_eq!(upstream.hung_when_full(), 0, "sent to the full upstream");
    wait_until("the slots are in use no longer", || {
        deployment.node(0).metrics.lost_work.get() == 0
    });
    upstream.update_switches(|switches| switches.service_time = None);
    wait_until_served(&deployment, 0);
}

#[test]
fn calls_before_restart() {
    let _lock = test_lock();
    let mut deployment = start_nodes(1, true, 0);
    let upstream = start_full_hanging(&deployment);
    upstream.update_switches(|switches| {
        switches.service_time = Some(ServiceTime::Fixed { us: 1_500_000 });
    });
    let address = deployment.call_address(0);
    for call in 0..SLOTS {
        send_and_leave(address, &format!("before-{call}"));
    }
    wait_until("the slots are in use", || {
        upstream.running_and_waiting().0 == SLOTS
    });
    upstream.update_switches(|switches| switches.service_time = None);
    deployment.kill_node(0);
    deployment.start_node(0).unwrap();
    wait_until_served(&deployment, 0);
    assert_eq!(upstream.hung_when_full(), 0, "sent to the full upstream");
}

/// Sends calls one after the other; returns the results that are not an answer.
fn failed_calls(address: SocketAddr, count: usize, name: &str) -> Vec<String> {
    let headers = [("x-gyard-deadline-ms", "4000")];
    (0..count)
        .map(|n| request(&format!("{name}-{n}"), "GET", &headers, ""))
        .map(|call| describe_result(&send(address, &call)))
        .filter(|result| result != "200 from the upstream")
        .collect()
}

/// Sends calls from several callers at a time, so that they use all upstreams: calls one after the
/// other may all go to the one that is a little faster.
fn concurrent_failed_calls(address: SocketAddr) -> Vec<String> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..WARM_UP_CALLERS)
            .map(|caller| {
                let name = format!("warm-up-{caller}");
                scope.spawn(move || failed_calls(address, WARM_UP_CALLS / 4, &name))
            })
            .collect();
        let failed = callers.into_iter().map(|caller| caller.join().unwrap());
        failed.flatten().collect()
    })
}

#[test]
fn hung_reads_go_elsewhere() {
    let _lock = test_lock();
    let deployment = start_nodes(2, false, 20);
    let upstreams = system::start_upstreams(&deployment, 2);
    wait_until_served(&deployment, 0);
    let address = deployment.call_address(0);
    wait_until("both upstreams have answered enough calls", || {
        assert_eq!(concurrent_failed_calls(address), Vec::<String>::new());
        upstreams
            .iter()
            .all(|upstream| upstream.executions().len() >= WARM_UP_CALLS)
    });
    upstreams[0].update_switches(|switches| switches.hang_percent = 10);
    assert_eq!(failed_calls(address, CALLS, "hung"), Vec::<String>::new());

    // A call that may not be repeated waits for its deadline and gets the outcome `unknown`.
    for upstream in &upstreams {
        upstream.update_switches(|switches| switches.hang_percent = 100);
    }
    let headers = [("x-gyard-deadline-ms", "1000")];
    let write = request("write", "POST", &headers, "");
    let sent = Instant::now();
    let result = send(deployment.call_address(0), &write);
    assert_eq!(describe_result(&result), "504 deadline-passed unknown");
    assert!(sent.elapsed() >= Duration::from_millis(1000));
}
