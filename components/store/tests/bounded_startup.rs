//! Guards against a startup time that grows with the number of changes ever made, and against a
//! restart after thousands of changes that loses profiles or kept answers.

mod memory_disk;

use consensus::{Input, Output, RecoveredState, Replica, ReplicaConfig, Reply, Role};
use memory_disk::MemoryDisk;
use model::{Profile, ProfileName};
use registry::{Change, ChangeId, ChangeResult, Op};
use store::{Disk, Store};

const CHANGES: u64 = 5_000;
const PROFILES: u64 = 50;

fn update(id: u64) -> Change {
    let name = ProfileName::parse(format!("p{}", id % PROFILES)).unwrap();
    let profile = Profile::with_defaults(name);
    Change {
        change_id: ChangeId::from_u128(u128::from(id)),
        expect: None,
        op: if id < PROFILES {
            Op::Add(profile)
        } else {
            Op::Update(profile)
        },
        in_use: Vec::new(),
    }
}

/// The only replica of a group, with a store.
struct PersistentReplica {
    replica: Replica,
    store: Store,
    now_us: u64,
    answers: Vec<Reply>,
}

impl PersistentReplica {
    fn start(store: Store, recovered: RecoveredState) -> Self {
        let mut persistent = PersistentReplica {
            replica: Replica::new(0, ReplicaConfig::new(1, [1]), recovered, 1),
            store,
            now_us: 0,
            answers: Vec::new(),
        };
        while persistent.replica.role() != Role::Leader {
            persistent.now_us += 100_000;
            persistent.input(Input::Tick);
        }
        persistent
    }

    fn input(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.replica.handle_input(self.now_us, input) {
                match output {
                    Output::Persist { sequence, write } => {
                        self.store.persist([&write]).unwrap();
                        inputs.push(Input::Persisted { sequence });
                    }
                    Output::Answer { reply, .. } => self.answers.push(reply),
                    _ => {}
                }
            }
        }
    }

    fn change(&mut self, id: u64) -> Reply {
        let change = update(id);
        self.input(Input::Propose { token: id, change });
        self.answers.pop().expect("is answered")
    }
}

#[test]
fn data_bounded_by_profiles_and_answers() {
    let disk = MemoryDisk::new();
    let (store, recovered) = Store::open_with_disk(Box::new(disk.clone())).unwrap();
    let mut persistent = PersistentReplica::start(store, recovered);
    for id in 0..CHANGES {
        let reply = persistent.change(id);
        let is_accepted = matches!(reply, Reply::Committed(ChangeResult::Accepted { .. }));
        assert!(is_accepted, "{reply:?}");
    }
    let first = persistent.change(7);
    drop(persistent);

    let (store, recovered) = Store::open_with_disk(Box::new(disk.clone())).unwrap();
    let config = ReplicaConfig::new(1, [1]);
    assert!((recovered.entries.len() as u64) < config.snapshot_entries);
    let names = disk.list().unwrap();
    let bytes: usize = names
        .iter()
        .map(|name| disk.read(name).unwrap().len())
        .sum();
    // A kept answer takes about 30 bytes and a log entry about 70; nothing else may grow.
    assert!(
        bytes < 30 * 5_000 + 100 * 2_048 + 256 * 1_024,
        "{bytes} bytes in {names:?}"
    );

    let mut persistent = PersistentReplica::start(store, recovered);
    assert_eq!(persistent.replica.registry().revision().number, CHANGES);
    assert_eq!(persistent.change(7), first);
    let live = persistent
        .replica
        .registry()
        .profiles()
        .live_profiles()
        .count();
    assert_eq!(live as u64, PROFILES);
}
