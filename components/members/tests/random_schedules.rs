//! Guards agreement: random faults must not leave a live member accused or a dead one known.

mod support;

use proptest::prelude::{ProptestConfig, Strategy, any, prop, prop_oneof, proptest};
use support::{Net, SECOND_US};

#[derive(Clone, Debug)]
enum Fault {
    Loss(u32),
    Duplicates(u32),
    Reorder(u64),
    Pause(u16, u64),
    Crash(u16),
    Leave(u16),
    Restart(u16),
    Drain(u16),
    Cut(u8, bool),
}

const SIZE: u16 = 6;
const ZONES: [(&str, &str); 3] = [("east", "a"), ("east", "b"), ("west", "c")];

fn fault() -> impl Strategy<Value = Fault> {
    let member = 1..=SIZE;
    prop_oneof![
        (0_u32..60).prop_map(Fault::Loss),
        (0_u32..60).prop_map(Fault::Duplicates),
        (0_u64..2_000_000).prop_map(Fault::Reorder),
        (member.clone(), 100_000_u64..8_000_000).prop_map(|(at, time)| Fault::Pause(at, time)),
        member.clone().prop_map(Fault::Crash),
        member.clone().prop_map(Fault::Leave),
        member.clone().prop_map(Fault::Restart),
        member.prop_map(Fault::Drain),
        (0_u8..3, any::<bool>()).prop_map(|(pair, is_cut)| Fault::Cut(pair, is_cut)),
    ]
}

fn start(net: &mut Net, port: u16) {
    let place = ZONES[usize::from(port) % ZONES.len()];
    let name = format!("kitchen-{port}");
    net.start(port, place, &[1, 2, 3], Some(&name));
}

/// Ends a process; one that left stays reachable for a moment as a real one does.
fn stop(net: &mut Net, port: u16, is_graceful: bool) {
    if is_graceful {
        net.resume(port);
        net.leave(port);
        net.run(SECOND_US);
    }
    net.kill(port);
}

fn inject(net: &mut Net, fault: &Fault) {
    // A region without survivors can't be told from one beyond a partition and is kept for hours,
    // so that each region keeps one member here.
    let region = |port: u16| ZONES[usize::from(port) % ZONES.len()].0;
    let is_running = |net: &Net, port: &u16| net.nodes.contains_key(port);
    let may_stop = |net: &Net, port: &u16| {
        let mut others = net.nodes.keys().filter(|other| *other != port);
        is_running(net, port) && others.any(|other| region(*other) == region(*port))
    };
    match fault {
        Fault::Loss(percent) => net.loss_percent = *percent,
        Fault::Duplicates(percent) => net.duplicate_percent = *percent,
        Fault::Reorder(time_us) => net.max_extra_delay_us = *time_us,
        Fault::Pause(port, time_us) if is_running(net, port) => {
            net.paused.insert(*port);
            net.run(*time_us);
            net.resume(*port);
        }
        Fault::Crash(port) if may_stop(net, port) => stop(net, *port, false),
        Fault::Leave(port) if may_stop(net, port) => stop(net, *port, true),
        Fault::Restart(port) => {
            net.kill(*port);
            net.run(100_000);
            start(net, *port);
        }
        Fault::Drain(port) if is_running(net, port) => net.drain(*port),
        Fault::Cut(pair, is_cut) => {
            let pair = usize::from(*pair);
            let (a, b) = (ZONES[pair].1, ZONES[(pair + 1) % 3].1);
            net.cut(a, b, *is_cut);
        }
        _ => {}
    }
}

fn heal(net: &mut Net) {
    net.loss_percent = 0;
    net.duplicate_percent = 0;
    net.max_extra_delay_us = 0;
    net.cuts.clear();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_agree(
        seed in any::<u64>(),
        faults in prop::collection::vec((fault(), 0_u64..6_000_000), 1..14),
    ) {
        let mut net = Net::new(seed);
        for port in 1..=SIZE {
            start(&mut net, port);
        }
        net.run(5 * SECOND_US);
        for (fault, wait_us) in &faults {
            inject(&mut net, fault);
            net.run(*wait_us);
        }
        heal(&mut net);
        net.run(60 * SECOND_US);
        net.assert_agreement();
        // Nothing may return or be accused later on.
        net.take_session();
        net.run(20 * SECOND_US);
        assert_eq!(net.take_session(), "");
    }
}
