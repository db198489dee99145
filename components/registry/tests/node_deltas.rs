//! Guards against a node that goes back, takes a delta with a gap, or differs unnoticed.

use model::{Profile, ProfileName, Revision};
use registry::{Change, ChangeId, Comparison, MAX_RETIRED, Op, ProfileSet, Registry};

#[derive(Default)]
struct Source {
    registry: Registry,
    index: u64,
    history: Vec<ProfileSet>,
}

impl Source {
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

fn source() -> Source {
    let mut source = Source::default();
    for text in ["a", "b", "c", "d"] {
        source.add(text);
    }
    source.apply(Op::Update(Profile {
        idempotent: true,
        ..profile("a")
    }));
    source.retire("b");
    source.add("b");
    source.retire("d");
    source
}

#[test]
fn any_start_reaches_latest() {
    let source = source();
    let latest = source.registry.profiles();
    for start in &source.history[..source.history.len() - 1] {
        let mut node = start.clone();
        assert!(node.apply(latest.delta_since(start.revision())));
        assert_eq!(&node, latest);
        assert_eq!(
            node.compare(latest.revision(), latest.digest()),
            Comparison::Equal
        );
    }
    let mut empty = ProfileSet::default();
    assert!(empty.apply(source.registry.delta_since(Revision::default())));
    assert_eq!(&empty, latest);
}

/// Delayed and duplicated deltas arrive in any order.
#[test]
fn never_back() {
    let source = source();
    let latest = source.registry.profiles();
    for (older, newer) in source.history.iter().zip(&source.history[1..]) {
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
fn gap_is_refused() {
    let source = source();
    let mut node = source.history[0].clone();
    let before = node.clone();
    let later = source.history[3].delta_since(source.history[2].revision());
    assert!(!node.apply(later));
    assert_eq!(node, before);
    assert_eq!(
        node.compare(source.history[3].revision(), 0),
        Comparison::Behind
    );
}

/// A node whose content differs notices it and recovers by a full snapshot.
#[test]
fn divergence_is_noticed() {
    let source = source();
    let latest = source.registry.profiles();
    let mut other = Source::default();
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
fn equal_revision_repaired() {
    let source = source();
    let latest = source.registry.profiles();
    let mut damaged = latest.full_delta();
    damaged.records.pop();
    let mut node = ProfileSet::default();
    assert!(!node.apply(damaged), "a full snapshot with a wrong digest");
    node.apply(latest.full_delta());
    assert_eq!(node.compare(latest.revision(), 0), Comparison::Diverged);
    node.mark_diverged();
    assert!(node.apply(latest.full_delta()));
}

/// Dropped records are named by no delta, so an older node must get everything.
#[test]
fn full_after_drop() {
    let mut source = source();
    let old = source.registry.profiles().clone();
    for number in 0..=MAX_RETIRED {
        let text = format!("p{number}");
        source.add(&text);
        source.retire(&text);
    }
    let latest = source.registry.profiles();
    let delta = latest.delta_since(old.revision());
    assert_eq!(delta.base, None);
    let mut node = old;
    assert!(node.apply(delta));
    assert_eq!(&node, latest);
}
