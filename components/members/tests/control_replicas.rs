//! Guards a node's choice of a control replica: neither silent replicas nor one that answers but is
//! cut off from its leader may keep the node from a current one.

use members::ControlReplicas;
use std::net::SocketAddr;

/// Pause of a node between two pulls that failed.
const RETRY_PAUSE_US: u64 = 150_000;
/// Steps within which a node with five replicas must have tried each that runs.
const MAX_STEPS: usize = 8;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

/// Plays a node whose replicas are silent, not current or current; returns the number of pulls
/// until it reaches the current one. Of those that are asked, the one with the lowest number
/// answers first.
fn pulls_until_current(replicas: &mut ControlReplicas, silent: &[u16], current: u16) -> usize {
    let mut now_us = 10_000_000;
    let runs = |replica: &SocketAddr| silent.iter().all(|number| address(*number) != *replica);
    for pulls in 1..=MAX_STEPS {
        let asked = replicas.to_ask(now_us);
        for replica in asked.iter().filter(|replica| !runs(replica)) {
            replicas.mark_silent(*replica, now_us);
        }
        let first = asked.into_iter().find(|replica| runs(replica));
        let Some(chosen) = first.or_else(|| replicas.next_answering(now_us)) else {
            now_us += RETRY_PAUSE_US;
            continue;
        };
        if chosen == address(current) {
            return pulls;
        }
        replicas.mark_not_current(chosen, now_us);
        now_us += RETRY_PAUSE_US;
    }
    panic!("the current replica was not reached in {MAX_STEPS} pulls");
}

#[test]
fn each_replica_gets_its_turn() {
    for current in 1..=5 {
        let mut replicas = ControlReplicas::new((1..=5).map(address));
        assert_eq!(
            pulls_until_current(&mut replicas, &[], current),
            usize::from(current)
        );
    }
}

/// The replica that the node followed is cut off from its leader but still answers first.
#[test]
fn cut_off_replica_is_left() {
    let mut replicas = ControlReplicas::new((1..=3).map(address));
    replicas.mark_current(address(1), 9_900_000);
    assert!(pulls_until_current(&mut replicas, &[2], 3) <= 3);
}

#[test]
fn silent_replicas_are_left_out() {
    let mut replicas = ControlReplicas::new((1..=5).map(address));
    for number in 1..=3 {
        replicas.mark_silent(address(number), 0);
    }
    assert_eq!(replicas.to_ask(100_000), [address(4), address(5)]);
    assert_eq!(replicas.to_ask(500_000).len(), 5);
    replicas.mark_silent(address(1), 500_000);
    assert!(!replicas.to_ask(1_400_000).contains(&address(1)));
    assert!(replicas.to_ask(1_500_000).contains(&address(1)));
}

/// After a loss of the whole group nothing else is left to ask.
#[test]
fn all_silent_are_asked() {
    let mut replicas = ControlReplicas::new((1..=3).map(address));
    for number in 1..=3 {
        replicas.mark_silent(address(number), 0);
    }
    assert_eq!(replicas.to_ask(1).len(), 3);
    assert_eq!(replicas.next_answering(1), None);
}

#[test]
fn replaced_replicas_are_forgotten() {
    let mut replicas = ControlReplicas::new([address(1)]);
    replicas.adopt([2, 3].map(address));
    replicas.mark_silent(address(2), 0);
    replicas.adopt([2, 4].map(address));
    assert_eq!(replicas.to_ask(100), [address(1), address(4)]);
}
