//! Guards convergence: after random faults have ended, no live member may be suspect and no dead
//! one known.

mod support;

use proptest::prelude::{ProptestConfig, Strategy, any, prop, prop_oneof, proptest};
use support::{SECOND_US, Simulation};

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

fn start(sim: &mut Simulation, port: u16) {
    let place = ZONES[usize::from(port) % ZONES.len()];
    let name = format!("kitchen-{port}");
    sim.start(port, place, &[1, 2, 3], Some(&name));
}

/// Ends a process. One that leaves stays reachable for a second, as a real process does.
fn stop(sim: &mut Simulation, port: u16, is_graceful: bool) {
    if is_graceful {
        sim.resume(port);
        sim.leave(port);
        sim.run(SECOND_US);
    }
    sim.kill(port);
}

fn inject(sim: &mut Simulation, fault: &Fault) {
    // A region without live members looks like a partitioned one and stays known for hours, so each
    // region keeps at least one member in this test.
    let region = |port: u16| ZONES[usize::from(port) % ZONES.len()].0;
    let is_running = |sim: &Simulation, port: &u16| sim.nodes.contains_key(port);
    let may_stop = |sim: &Simulation, port: &u16| {
        let mut others = sim.nodes.keys().filter(|other| *other != port);
        is_running(sim, port) && others.any(|other| region(*other) == region(*port))
    };
    match fault {
        Fault::Loss(percent) => sim.loss_percent = *percent,
        Fault::Duplicates(percent) => sim.duplicate_percent = *percent,
        Fault::Reorder(time_us) => sim.max_extra_delay_us = *time_us,
        Fault::Pause(port, time_us) if is_running(sim, port) => {
            sim.paused.insert(*port);
            sim.run(*time_us);
            sim.resume(*port);
        }
        Fault::Crash(port) if may_stop(sim, port) => stop(sim, *port, false),
        Fault::Leave(port) if may_stop(sim, port) => stop(sim, *port, true),
        Fault::Restart(port) => {
            sim.kill(*port);
            sim.run(100_000);
            start(sim, *port);
        }
        Fault::Drain(port) if is_running(sim, port) => sim.drain(*port),
        Fault::Cut(pair, is_cut) => {
            let pair = usize::from(*pair);
            let (a, b) = (ZONES[pair].1, ZONES[(pair + 1) % 3].1);
            sim.cut(a, b, *is_cut);
        }
        _ => {}
    }
}

fn heal(sim: &mut Simulation) {
    sim.loss_percent = 0;
    sim.duplicate_percent = 0;
    sim.max_extra_delay_us = 0;
    sim.partitioned_zones.clear();
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
        let mut sim = Simulation::new(seed);
        for port in 1..=SIZE {
            start(&mut sim, port);
        }
        sim.run(5 * SECOND_US);
        for (fault, wait_us) in &faults {
            inject(&mut sim, fault);
            sim.run(*wait_us);
        }
        heal(&mut sim);
        sim.run(60 * SECOND_US);
        sim.assert_agreement();
        // No member may change its state once the group has converged.
        sim.take_event_log();
        sim.run(20 * SECOND_US);
        assert_eq!(sim.take_event_log(), "");
    }
}
