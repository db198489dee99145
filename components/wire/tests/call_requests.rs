//! Guards against call requests that processes of an earlier build can't read: the variants without
//! a customer must keep their numbers.

use calls::AttemptStatus;
use model::{AttemptId, CallId, Fingerprint, NodeId, Priority, ProfileName, UpstreamName};
use std::sync::Arc;
use wire::{AttemptStatusRequest, CallReply, CallRequest, HttpMessage, RunCall, decode, encode};

fn attempt() -> AttemptId {
    AttemptId {
        call: CallId {
            origin: 1,
            sequence: 2,
        },
        attempt: 0,
    }
}

fn owner() -> NodeId {
    NodeId {
        mesh: "127.0.0.1:1".parse().unwrap(),
        incarnation: 3,
    }
}

fn run_call() -> RunCall {
    RunCall {
        attempt: attempt(),
        owner: owner(),
        upstream: UpstreamName::parse("i-1").unwrap(),
        generation: 0,
        keyed: false,
        idempotent: true,
        profile: ProfileName::parse("read").unwrap(),
        priority: Priority::Normal,
        queue_limit: 64,
        remaining_us: 1_000,
        max_queue_wait_us: None,
        start_now: false,
        target_us: 1_000,
        fingerprint: Fingerprint([0; 16]),
        request: HttpMessage {
            start_line: ("GET".to_owned(), "/".to_owned()),
            headers: Vec::new(),
            body: Vec::new(),
        },
    }
}

#[test]
fn numbers_of_variants() {
    let status = AttemptStatusRequest {
        attempt: attempt(),
        owner: owner(),
        generation: None,
        remaining_us: 0,
        keyed: false,
    };
    let run = encode(&CallRequest::Run(run_call()));
    let run_for = encode(&CallRequest::RunFor {
        call: run_call(),
        customer: Arc::from("customer-1"),
    });
    assert_eq!(run[0], 0);
    assert_eq!(encode(&CallRequest::Cancel(status))[0], 1);
    assert_eq!(encode(&CallRequest::QueryStatus(status))[0], 2);
    assert_eq!(run_for[0], 3);
    let nested = encode(&CallRequest::RunNested {
        call: run_call(),
        customer: None,
        done_us: 7,
    });
    assert_eq!(nested[0], 4);
    assert_eq!(run_for[1..run.len()], run[1..], "the call itself is equal");
    let CallRequest::RunFor { call, customer } = decode(&run_for).unwrap() else {
        panic!("another variant");
    };
    assert_eq!((call, &*customer), (run_call(), "customer-1"));
    let reply = encode(&CallReply::Status(AttemptStatus::NotStarted));
    assert!(decode::<CallReply>(reply).is_ok());
}
