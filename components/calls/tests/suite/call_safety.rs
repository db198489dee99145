//! Random interleavings of calls, faults and resends against the two promises of the crate.

use crate::simulation::Simulation;
use proptest::{
    collection::vec,
    prelude::any,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::cell::Cell;

const CASES: u32 = 10_000;
const TAPE_LENGTH: usize = 400;

/// Guards against a second execution of a non-repeatable call or of a key, against an execution
/// before or after the caller was told not-run, against a foreign answer, and against a call that
/// never ends. The seed is fixed; GYARD_CALLS_SEED runs another one.
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
    let result = runner.run(&vec(any::<u16>(), 0..TAPE_LENGTH), |tape| {
        let run = Simulation::new(tape).run();
        let sums = counts.get();
        counts.set(std::array::from_fn(|i| sums[i] + run[i]));
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    let counts = counts.get();
    println!("seed {seed}: executed, not run, recovered, key hits: {counts:?}");
    // The tape must reach the paths that the promises are about.
    assert!(counts.iter().all(|&count| count > u64::from(CASES) / 10));
}
