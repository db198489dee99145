//! Guards the subsets: bounded, even over many entries, stable when a member leaves.

use model::{NodeId, ServiceName, UpstreamName};
use proptest::{prop_assert, proptest};
use routing::subset;
use std::collections::{HashMap, HashSet};

fn members(count: usize) -> Vec<UpstreamName> {
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
    fn leaving_member(count in 1usize..80, size in 0usize..30, entry_index: u16, leaver: usize) {
        let all = members(count);
        let (service, entry) = (service(), entry(entry_index));
        let before: HashSet<&UpstreamName> =
            subset(&service, &entry, &all, size).into_iter().collect();
        prop_assert!(before.len() == size.min(count));
        let leaver = all[leaver % count].clone();
        let rest: Vec<UpstreamName> = all.iter().filter(|m| **m != leaver).cloned().collect();
        let after: HashSet<&UpstreamName> =
            subset(&service, &entry, &rest, size).into_iter().collect();
        let kept = before.intersection(&after).count();
        let lost = usize::from(before.contains(&leaver));
        prop_assert!(kept == before.len() - lost, "more than the leaver was replaced");
    }
}

#[test]
fn even_shares() {
    let all = members(50);
    let mut shares: HashMap<&UpstreamName, u32> = HashMap::new();
    for index in 0..1_900 {
        for member in subset(&service(), &entry(index), &all, 10) {
            *shares.entry(member).or_default() += 1;
        }
    }
    // 380 entries each on average; chance alone spreads them by about 17.
    assert_eq!(shares.len(), 50);
    assert!(
        shares.values().all(|share| (300..=460).contains(share)),
        "uneven: {shares:?}"
    );
}
