//! Guards against subsets that are too large, that choose some upstreams too often over many
//! entries, or that change more than necessary when an upstream leaves.

use model::{NodeId, ServiceName, UpstreamName};
use proptest::{prop_assert, proptest};
use routing::{subset, zone_first_subset};
use std::collections::{HashMap, HashSet};

fn upstreams(count: usize) -> Vec<UpstreamName> {
    (0..count)
        .map(|i| UpstreamName::parse(format!("u{i}")).expect("a valid name"))
        .collect()
}

fn entry(index: u16) -> NodeId {
    NodeId {
        mesh: ([10, 0, (index >> 8) as u8, index as u8], 7_000).into(),
        incarnation: 1,
    }
}

fn service() -> ServiceName {
    ServiceName::parse("browse").expect("a valid name")
}

proptest! {
    #[test]
    fn leaving_upstream(count in 1usize..80, size in 0usize..30, entry_index: u16, leaving: usize) {
        let all = upstreams(count);
        let (service, entry) = (service(), entry(entry_index));
        let before: HashSet<&UpstreamName> =
            subset(&service, &entry, &all, size).into_iter().collect();
        prop_assert!(before.len() == size.min(count));
        let leaving = all[leaving % count].clone();
        let rest: Vec<UpstreamName> = all.iter().filter(|n| **n != leaving).cloned().collect();
        let after: HashSet<&UpstreamName> =
            subset(&service, &entry, &rest, size).into_iter().collect();
        let kept = before.intersection(&after).count();
        let lost = usize::from(before.contains(&leaving));
        prop_assert!(kept == before.len() - lost, "more than the leaving upstream was replaced");
    }
}

#[test]
fn even_shares() {
    let all = upstreams(50);
    let mut shares: HashMap<&UpstreamName, u32> = HashMap::new();
    for index in 0..1_900 {
        for name in subset(&service(), &entry(index), &all, 10) {
            *shares.entry(name).or_default() += 1;
        }
    }
    // 380 entries each on average, with a standard deviation of about 17.
    assert_eq!(shares.len(), 50);
    assert!(
        shares.values().all(|share| (300..=460).contains(share)),
        "uneven: {shares:?}"
    );
}

/// Guards against calls that leave the entry's zone although it has upstreams: a random subset of a
/// large service contains few of them.
#[test]
fn own_zone_first() {
    let all = upstreams(56);
    for (near_count, near_expected) in [(0, 0), (8, 8), (15, 15), (30, 18), (50, 18), (56, 24)] {
        let (near, far) = all.split_at(near_count);
        let chosen = zone_first_subset(&service(), &entry(3), near, far, 24);
        let distinct: HashSet<&UpstreamName> = chosen.iter().copied().collect();
        assert_eq!(distinct.len(), 24);
        let near_chosen = chosen.iter().filter(|name| near.contains(name)).count();
        assert_eq!(near_chosen, near_expected, "{near_count} near");
    }
    let (near, far) = all.split_at(5);
    let chosen = zone_first_subset(&service(), &entry(3), near, &far[..2], 24);
    assert_eq!(chosen.len(), 7);
}
