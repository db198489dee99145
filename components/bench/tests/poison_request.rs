//! Guards against a request that crashes each instance that runs it, resent by its caller through
//! several nodes: more than two crashed instances, and ordinary calls that stay refused because
//! they were in flight at a crash.

use bench::upstream::Upstream;

mod system;
use system::{
    alone, deployment, eventually, instance, request, runs_of, send, send_later, serves, told,
};

const NODES: usize = 4;

fn crashes(upstreams: &[Upstream]) -> u64 {
    upstreams.iter().map(Upstream::crash_count).sum()
}

fn poisoned(method: &str) -> Vec<String> {
    let deployment = deployment(NODES);
    let upstreams: Vec<Upstream> = (0..NODES)
        .map(|node| {
            instance(&deployment, node, |config| {
                config.restart_after_ms = 100;
            })
        })
        .collect();
    deployment.wait_for_upstreams(NODES).unwrap();
    for node in 0..NODES {
        serves(&deployment, node);
    }
    for upstream in &upstreams {
        upstream.update_switches(|switches| switches.silent = true);
    }
    let mut session = Vec::new();
    let ordinary: Vec<_> = (0..2 * NODES)
        .map(|number| {
            let body = format!("order {number}");
            request(&format!("ordinary-{number}"), "POST", &[], &body)
        })
        .collect();
    let in_flight: Vec<_> = ordinary
        .iter()
        .zip((0..NODES).cycle())
        .map(|(call, node)| send_later(deployment.call_address(node), call.clone()))
        .collect();
    eventually("ordinary calls run", || {
        upstreams
            .iter()
            .map(|upstream| upstream.running_and_waiting().0)
            .sum::<u32>()
            == 2 * NODES as u32
    });
    for resend in 0..2 * NODES {
        let poison = request("poison", method, &[("x-bench-crash", "1")], "poison");
        let answer = send(deployment.call_address(resend % NODES), &poison);
        assert!(!answer.as_ref().is_ok_and(|response| response.status == 200));
        assert!(crashes(&upstreams) <= 2, "{} crashes", crashes(&upstreams));
        if resend >= NODES {
            let node = resend % NODES + 1;
            session.push(format!(
                "{method} resent through node {node}: {}",
                told(&answer)
            ));
        }
    }
    assert_eq!(crashes(&upstreams), 2);
    assert_eq!(runs_of(&upstreams, "poison"), 2);
    for upstream in &upstreams {
        upstream.update_switches(|switches| switches.silent = false);
    }
    for (call, result) in ordinary.iter().zip(in_flight) {
        let answer = result.join().unwrap();
        let id = call.headers.get("x-request-id").unwrap();
        assert!(
            runs_of(&upstreams, id) <= 1,
            "{id} ran twice: {}",
            told(&answer)
        );
    }
    for (call, node) in ordinary.iter().zip((0..NODES).cycle()) {
        eventually("an ordinary call is served again", || {
            send(deployment.call_address(node), call).is_ok_and(|response| response.status == 200)
        });
    }
    session.push(format!(
        "instances crashed by {method}: {}",
        crashes(&upstreams)
    ));
    session.push("ordinary calls that were in flight are served again".to_owned());
    session
}

#[test]
fn poison_request() {
    let _alone = alone();
    let mut session = poisoned("POST");
    session.extend(poisoned("GET"));
    insta::assert_snapshot!(session.join("\n"));
}
