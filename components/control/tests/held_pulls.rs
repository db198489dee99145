//! Guards against a node that hears of a change up to a second late, because the change came while
//! its pull was compared with the configuration before it.

use control::{HeldPulls, Pull};
use crossbeam::channel::{Receiver, unbounded};
use mesh::Bytes;
use model::{Profile, ProfileName};
use registry::{Change, ChangeId, Op, ProfileSet, Registry};
use std::{sync::Arc, thread, time::Duration};
use wire::{ControlReply, decode};

/// Time for which the comparison waits for the change that is made meanwhile.
const PAUSE: Duration = Duration::from_millis(200);
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// The profiles before a change and after it.
fn sets() -> (Arc<ProfileSet>, Arc<ProfileSet>) {
    let mut registry = Registry::default();
    let mut set_after = |index: u64, name: &str| {
        let profile = Profile::with_defaults(ProfileName::parse(name).unwrap());
        let change = Change {
            change_id: ChangeId::from_u128(u128::from(index)),
            expect: None,
            op: Op::Add(profile),
            in_use: Vec::new(),
        };
        registry.apply(1, index, &change);
        Arc::new(registry.profiles().clone())
    };
    (set_after(1, "browse"), set_after(2, "order"))
}

/// A pull of a node that has `set`, and its answers.
fn pull_of(set: &ProfileSet) -> (Pull, Receiver<Bytes>) {
    let (sender, answers) = unbounded();
    let pull = Pull {
        have: set.revision(),
        digest: set.digest(),
        until_us: 1_000_000,
        reply: Box::new(move |answer| sender.send(answer).unwrap()),
    };
    (pull, answers)
}

#[test]
fn change_during_comparison() {
    let (before, after) = sets();
    let pulls = Arc::new(HeldPulls::default());
    let (pull, answers) = pull_of(&before);
    let (changed_sender, changed) = unbounded();
    let mut change = None;
    pulls.answer_or_hold(pull, true, || {
        let (pulls, after) = (Arc::clone(&pulls), Arc::clone(&after));
        change = Some(thread::spawn(move || {
            pulls.answer_outdated(&after);
            changed_sender.send(()).unwrap();
        }));
        let _ = changed.recv_timeout(PAUSE);
        before
    });
    change.unwrap().join().unwrap();
    let answer = answers.recv_timeout(REPLY_TIMEOUT).expect("no answer");
    let ControlReply::Newer(delta) = decode(&answer).unwrap() else {
        panic!("the change was not sent");
    };
    assert_eq!(delta.to, after.revision());
}

/// A pull that is held while nothing changes is answered when its time has passed.
#[test]
fn nothing_new() {
    let (set, _) = sets();
    let pulls = HeldPulls::default();
    let (pull, answers) = pull_of(&set);
    pulls.answer_or_hold(pull, true, || Arc::clone(&set));
    pulls.expire(999_999, true);
    assert!(answers.is_empty(), "answered too early");
    pulls.expire(1_000_000, true);
    let answer = answers.recv_timeout(REPLY_TIMEOUT).expect("no answer");
    assert!(matches!(decode(&answer), Ok(ControlReply::Unchanged)));
}
