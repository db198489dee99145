//! Changes that the tests propose, and the replies to them.

use consensus::Reply;
use errors::ErrorKind;
use model::{Profile, ProfileName};
use registry::{Change, ChangeId, ChangeResult, Op};

pub fn profile(name: &str, deadline_ms: u32) -> Profile {
    let mut profile = Profile::with_defaults(ProfileName::parse(name).unwrap());
    profile.deadline_ms = deadline_ms;
    profile
}

pub fn change(id: u64, op: Op) -> Change {
    Change {
        change_id: ChangeId::from_u128(u128::from(id)),
        expect: None,
        op,
        in_use: Vec::new(),
    }
}

pub fn add(id: u64, name: &str) -> Change {
    change(id, Op::Add(profile(name, 1_000)))
}

pub fn update(id: u64, name: &str, deadline_ms: u32) -> Change {
    change(id, Op::Update(profile(name, deadline_ms)))
}

pub fn is_accepted(reply: &Reply) -> bool {
    matches!(reply, Reply::Committed(ChangeResult::Accepted { .. }))
}

pub fn is_refused_as(reply: &Reply, expected: ErrorKind) -> bool {
    match reply {
        Reply::Refused { kind, .. } | Reply::Committed(ChangeResult::Rejected(kind, _)) => {
            *kind == expected
        }
        Reply::Committed(ChangeResult::Accepted { .. }) => false,
    }
}
