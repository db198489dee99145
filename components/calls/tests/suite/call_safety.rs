//! Random interleavings of calls, faults and repeated calls, checked against the two guarantees of
//! the crate.

use crate::simulation::Simulation;
use proptest::{
    collection::vec,
    prelude::any,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::cell::Cell;

const CASES: u32 = 10_000;
const MAX_CHOICES: usize = 400;

/// Guards against a second execution of a call that is not idempotent or of a key, against an
/// execution of a call that ended with the outcome not-run, against the answer of another call, and
/// against a call that never ends. The seed is fixed; GYARD_CALLS_SEED sets another one.
#[test]
fn random_interleavings() {
    let seed: u8 = std::env::var("GYARD_CALLS_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let counts = Cell::new([0u64; 4]);
    let result = runner.run(&vec(any::<u16>(), 0..MAX_CHOICES), |choices| {
        let run = Simulation::new(choices).run();
        let sums = counts.get();
        counts.set(std::array::from_fn(|i| sums[i] + run[i]));
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    let counts = counts.get();
    println!("seed {seed}: executed, not run, recovered, key hits: {counts:?}");
    // The runs must reach the cases that the guarantees are about.
    assert!(counts.iter().all(|&count| count > u64::from(CASES) / 10));
}
