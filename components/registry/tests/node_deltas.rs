//! Guards against a node whose revision decreases, that applies a delta with a gap, or whose
//! content differs from the replicas without being detected.

use model::{Profile, ProfileName, Revision};
use registry::{Change, ChangeId, Comparison, MAX_RETIRED, Op, ProfileSet, Registry};

/// A registry that applies changes, and its profiles after each of them.
#[derive(Default)]
struct Replica {
    registry: Registry,
    index: u64,
    history: Vec<ProfileSet>,
}

impl Replica {
    fn apply(&mut self, op: Op) {
        self.index += 1;
        let change = Change {
            change_id: ChangeId::from_u128(u128::from(self.index)),
            expect: None,
            op,
            in_use: Vec::new(),
        };
        self.registry.apply(1 + self.index / 7, self.index, &change);
        self.history.push(self.registry.profiles().clone());
    }

    fn add(&mut self, text: &str) {
        self.apply(Op::Add(profile(text)));
    }

    fn retire(&mut self, text: &str) {
        let name = ProfileName::parse(text).unwrap();
        let successor = None;
        self.apply(Op::Retire { name, successor });
    }
}

fn profile(text: &str) -> Profile {
    Profile::with_defaults(ProfileName::parse(text).unwrap())
}

fn replica() -> Replica {
    let mut replica = Replica::default();
    for text in ["a", "b", "c", "d"] {
        replica.add(text);
    }
    replica.apply(Op::Update(Profile {
        idempotent: true,
        ..profile("a")
    }));
    replica.retire("b");
    replica.add("b");
    replica.retire("d");
    replica
}

#[test]
fn delta_from_any_revision_reaches_latest() {
    let replica = replica();
    let latest = replica.registry.profiles();
    for start in &replica.history[..replica.history.len() - 1] {
        let mut node = start.clone();
        assert!(node.apply(latest.delta_since(start.revision())));
        assert_eq!(&node, latest);
        assert_eq!(
            node.compare(latest.revision(), latest.digest()),
            Comparison::Equal
        );
    }
    let mut empty = ProfileSet::default();
    assert!(empty.apply(replica.registry.delta_since(Revision::default())));
    assert_eq!(&empty, latest);
}

/// Delayed and duplicated deltas may arrive in any order.
#[test]
fn revision_never_decreases() {
    let replica = replica();
    let latest = replica.registry.profiles();
    for (older, newer) in replica.history.iter().zip(&replica.history[1..]) {
        let mut node = latest.clone();
        assert!(!node.apply(newer.delta_since(older.revision())));
        assert!(!node.apply(newer.full_delta()));
        assert!(!node.apply(latest.full_delta()));
        assert_eq!(&node, latest);
        assert_eq!(
            node.compare(older.revision(), older.digest()),
            Comparison::Ahead
        );
    }
}

#[test]
fn gap_is_rejected() {
    let replica = replica();
    let mut node = replica.history[0].clone();
    let before = node.clone();
    let later = replica.history[3].delta_since(replica.history[2].revision());
    assert!(!node.apply(later));
    assert_eq!(node, before);
    assert_eq!(
        node.compare(replica.history[3].revision(), 0),
        Comparison::Behind
    );
}

/// A node whose content differs must detect it and recover with a full delta.
#[test]
fn divergence_is_detected() {
    let replica = replica();
    let latest = replica.registry.profiles();
    let mut other = Replica::default();
    for text in ["x", "y", "c", "d", "e"] {
        other.add(text);
    }
    let mut node = other.registry.profiles().clone();
    let delta = latest.delta_since(node.revision());
    assert!(delta.base.is_some());
    assert!(!node.apply(delta));
    assert!(node.needs_full_delta());
    assert!(node.apply(latest.full_delta()));
    assert_eq!(&node, latest);
    assert!(!node.needs_full_delta());
}

#[test]
fn full_delta_repairs_equal_revision() {
    let replica = replica();
    let latest = replica.registry.profiles();
    let mut damaged = latest.full_delta();
    damaged.records.pop();
    let mut node = ProfileSet::default();
    assert!(!node.apply(damaged), "a full delta with a wrong digest");
    node.apply(latest.full_delta());
    assert_eq!(node.compare(latest.revision(), 0), Comparison::Diverged);
    node.mark_diverged();
    assert!(node.apply(latest.full_delta()));
}

/// Deltas don't list dropped records, so a node at an older revision must get a full delta.
#[test]
fn full_delta_after_dropped_records() {
    let mut replica = replica();
    let old = replica.registry.profiles().clone();
    for number in 0..=MAX_RETIRED {
        let text = format!("p{number}");
        replica.add(&text);
        replica.retire(&text);
    }
    let latest = replica.registry.profiles();
    let delta = latest.delta_since(old.revision());
    assert_eq!(delta.base, None);
    let mut node = old;
    assert!(node.apply(delta));
    assert_eq!(&node, latest);
}
