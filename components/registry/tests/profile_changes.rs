//! Guards against accepting changes that must be rejected, and against rejections that don't tell
//! the operator what to do.

use errors::ErrorKind;
use model::{Profile, ProfileName, Revision};
use registry::{Change, ChangeId, ChangeResult, Op, RecordState, Registry};

fn name(text: &str) -> ProfileName {
    ProfileName::parse(text).unwrap()
}

fn profile(text: &str, deadline_ms: u32) -> Profile {
    let mut profile = Profile::with_defaults(name(text));
    profile.deadline_ms = deadline_ms;
    profile
}

fn retire(text: &str, successor: Option<&str>) -> Op {
    Op::Retire {
        name: name(text),
        successor: successor.map(name),
    }
}

#[derive(Default)]
struct ChangeLog {
    registry: Registry,
    index: u64,
    in_use: Vec<ProfileName>,
}

impl ChangeLog {
    fn apply(&mut self, op: Op) -> ChangeResult {
        self.apply_expecting(None, op)
    }

    fn apply_expecting(&mut self, expect: Option<u64>, op: Op) -> ChangeResult {
        self.index += 1;
        let change = Change {
            change_id: ChangeId::from_u128(u128::from(self.index)),
            expect,
            op,
            in_use: self.in_use.clone(),
        };
        self.registry.apply(1, self.index, &change)
    }

    fn deadline_ms(&self, text: &str) -> Option<u32> {
        let profile = self.registry.profiles().resolve(&name(text));
        profile.map(|profile| profile.deadline_ms)
    }
}

fn accepted_at(number: u64) -> ChangeResult {
    let revision = Revision { term: 1, number };
    ChangeResult::Accepted { revision }
}

fn rejection_kind(result: &ChangeResult) -> Option<ErrorKind> {
    match result {
        ChangeResult::Accepted { .. } => None,
        ChangeResult::Rejected(kind, _) => Some(*kind),
    }
}

#[test]
fn rejected_changes() {
    let mut log = ChangeLog::default();
    log.apply(Op::Add(profile("browse", 100)));
    log.apply(Op::Update(profile("browse", 200)));
    log.in_use = vec![name("browse")];
    let rejected = [
        log.apply(Op::Add(profile("browse", 300))),
        log.apply(Op::Update(profile("absent", 300))),
        log.apply(Op::Add(profile("wrong", 0))),
        log.apply_expecting(Some(1), Op::Update(profile("browse", 300))),
        log.apply_expecting(Some(1), retire("browse", None)),
        log.apply(retire("browse", None)),
        log.apply(retire("browse", Some("browse"))),
        log.apply(retire("browse", Some("absent"))),
    ];
    let lines = rejected.iter().map(|result| match result {
        ChangeResult::Rejected(kind, detail) => format!("{kind}: {detail}"),
        ChangeResult::Accepted { revision } => format!("accepted as {revision}"),
    });
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
    assert_eq!(log.registry.revision().number, 2);
}

/// Guards against calls of a retired name that don't find their profile through several successors.
#[test]
fn chain_of_successors() {
    let mut log = ChangeLog::default();
    for (text, deadline_ms) in [("a", 1), ("b", 2), ("c", 3)] {
        log.apply(Op::Add(profile(text, deadline_ms)));
    }
    log.in_use = vec![name("a")];
    assert_eq!(log.apply(retire("a", Some("b"))), accepted_at(4));
    let in_use = log.apply(retire("b", None));
    assert_eq!(
        rejection_kind(&in_use),
        Some(ErrorKind::ProfileInUse),
        "{in_use:?}"
    );
    assert_eq!(log.apply(retire("b", Some("c"))), accepted_at(5));
    assert_eq!(log.deadline_ms("a"), Some(3));
    log.in_use.clear();
    assert_eq!(log.apply(retire("c", None)), accepted_at(6));
    assert_eq!(log.deadline_ms("a"), None);
}

/// Guards against a change that was prepared for a retired profile and is applied to a new profile
/// of the same name.
#[test]
fn readded_profile_is_another_generation() {
    let mut log = ChangeLog::default();
    log.apply(Op::Add(profile("browse", 1)));
    log.apply(retire("browse", None));
    let update = log.apply(Op::Update(profile("browse", 2)));
    assert_eq!(rejection_kind(&update), Some(ErrorKind::UnknownProfile));
    assert_eq!(log.apply(Op::Add(profile("browse", 3))), accepted_at(3));
    let record = log.registry.profiles().record(&name("browse")).unwrap();
    assert_eq!(record.generation, 3);
    let old = log.apply_expecting(Some(1), Op::Update(profile("browse", 4)));
    assert_eq!(rejection_kind(&old), Some(ErrorKind::Conflict));
    assert_eq!(log.deadline_ms("browse"), Some(3));
}

/// Guards against unbounded memory use by retired names, and against dropping one that is in use.
#[test]
fn bounded_retired_names() {
    let mut log = ChangeLog::default();
    log.apply(Op::Add(profile("base", 7)));
    log.in_use = vec![name("used")];
    log.apply(Op::Add(profile("used", 1)));
    log.apply(retire("used", Some("base")));
    for number in 0..3 * registry::MAX_RETIRED {
        let text = format!("p{number}");
        log.apply(Op::Add(profile(&text, 1)));
        log.apply(retire(&text, None));
    }
    let is_retired = |state: &RecordState| matches!(state, RecordState::Retired { .. });
    let records = log.registry.profiles().records();
    let retired = records.filter(|record| is_retired(&record.state)).count();
    assert!(retired <= registry::MAX_RETIRED, "{retired}");
    assert_eq!(log.deadline_ms("used"), Some(7));
}
