//! Guards groups that start from three seeds and grow to five: changes accepted while too few hold
//! them, a second group formed by hosts that forgot the first, and hosts that are gone for good.

mod cluster;

use cluster::{Cluster, add, is_accepted, is_refused_as};
use consensus::{OpenGroup, ReplicaConfig};
use errors::ErrorKind;

/// Voters that the group grows to; two may be lost.
const VOTERS: usize = 5;
/// Time after a restart in which nobody listens yet.
const LATE_LISTENERS_US: u64 = 450_000;
/// The longest wait of a starting replica, a third of the usual one, and the votes.
const ONE_CAMPAIGN_US: u64 = 600_000;

fn open(config: &mut ReplicaConfig) {
    config.group = [1, 2, 3].into();
    config.open = Some(OpenGroup {
        voters: VOTERS,
        may_form: true,
    });
}

/// As after a restart: the platform no longer says that the deployment starts for the first time.
fn may_not_form(config: &mut ReplicaConfig) {
    open(config);
    if let Some(open) = &mut config.open {
        open.may_form = false;
    }
}

fn voters(group: &Cluster) -> usize {
    group.committed_membership.voters.len()
}

fn grown(size: u64, seed: u64) -> Cluster {
    let mut group = Cluster::tuned(size, seed, open);
    group.run_until("five voters", 20_000_000, |c| voters(c) == VOTERS);
    group
}

#[test]
fn grows_from_seeds() {
    for seed in 0..20 {
        let mut group = grown(5, seed);
        assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
        group.run_until("all replicas equal", 5_000_000, Cluster::is_settled);
    }
}

/// A seed that starts late is waited for; nothing is accepted before.
#[test]
fn late_seed() {
    let mut group = Cluster::tuned(5, 31, open);
    group.crash(2);
    group.run(5_000_000);
    assert_eq!(voters(&group), 0, "{:?}", group.committed_membership);
    group.restart(2);
    group.run_until("five voters", 20_000_000, |c| voters(c) == VOTERS);
}

/// With three voters the loss of two disks would lose what they accepted.
#[test]
fn nothing_accepted_while_growing() {
    let mut group = Cluster::tuned(5, 32, open);
    group.crash(4);
    group.crash(5);
    group.run_until("three voters", 20_000_000, |c| voters(c) == 3);
    let leader = group.elect();
    group.propose(leader, 1, add(1, "early"));
    group.run(2_000_000);
    let reply = group.answers.get(&1).unwrap();
    assert!(is_refused_as(reply, ErrorKind::NoQuorum), "{reply:?}");
    group.restart(4);
    group.restart(5);
    group.run_until("five voters", 20_000_000, |c| voters(c) == VOTERS);
    assert!(is_accepted(&group.commit(2, &add(2, "later"))));
}

/// Two disks are lost right after an acknowledgement, and all hosts restart.
#[test]
fn two_disks_lost() {
    for (seed, lost) in [(33, [1, 2]), (34, [2, 3]), (35, [4, 5]), (36, [1, 5])] {
        let mut group = grown(5, seed);
        group.tune = may_not_form;
        assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
        for number in group.numbers() {
            if lost.contains(&number) {
                group.lose_disk(number);
            } else {
                group.crash(number);
            }
        }
        for number in group.numbers() {
            group.restart(number);
        }
        group.run_until("five voters again", 40_000_000, |c| {
            voters(c) == VOTERS && c.is_settled()
        });
        let leader = group.elect();
        assert!(group.replica(leader).registry().revision().number >= 1);
        group.check_end();
    }
}

/// Empty hosts that may not form a group wait for one, however long.
#[test]
fn forgetful_hosts_form_nothing() {
    let mut group = Cluster::tuned(3, 37, may_not_form);
    group.run(20_000_000);
    assert_eq!(voters(&group), 0);
    assert_eq!(group.leader(), None);
}

/// One host of five never comes back; a sixth at another address takes its place.
#[test]
fn replaced_at_another_address() {
    for gone in 1..=5 {
        let mut group = Cluster::tuned(6, 38 + gone, open);
        group.crash(6);
        group.run_until("five voters", 20_000_000, |c| voters(c) == VOTERS);
        assert!(is_accepted(&group.commit(1, &add(1, "browse"))));
        group.crash(gone);
        group.run(2_000_000);
        assert_eq!(voters(&group), VOTERS, "a short absence changes nothing");
        group.restart(6);
        group.run_until("the newcomer votes", 40_000_000, |c| {
            let members = &c.committed_membership;
            members.by_number(6).is_some() && members.by_number(gone).is_none()
        });
        assert!(is_accepted(&group.commit(2, &add(2, "order"))));
    }
}

/// After a restart of all hosts the first pre-votes can be lost, because their receivers listen a
/// moment later; the wait for a leader that can't be there must not follow.
#[test]
fn first_pre_votes_lost() {
    for seed in 0..20 {
        let mut group = grown(5, 70 + seed);
        let all = group.numbers();
        for number in &all {
            group.crash(*number);
        }
        for number in &all {
            group.restart(*number);
        }
        for number in all {
            group.isolate(number);
        }
        group.run(LATE_LISTENERS_US);
        group.heal();
        group.run_until("a leader", ONE_CAMPAIGN_US, |c| c.leader().is_some());
    }
}
