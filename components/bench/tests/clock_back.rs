//! Guards against a node that nobody calls any more because its wall clock went back before it was
//! started again: others know its predecessor by a later start time.

use kernel::{Clock, Kernel, Settings, StopSignal, run_until_stopped};
use std::thread;

mod system;
use system::{start_deployment, start_upstream, test_lock, wait_until_served};

/// How far the clock of the first process is ahead, in microseconds.
const AHEAD_US: u64 = 60_000_000;

#[test]
fn served_again() {
    let _lock = test_lock();
    let mut deployment = start_deployment(3);
    let _upstream = start_upstream(&deployment, 1, |_| {});
    deployment.kill_node(1);
    let settings = Settings::Node(Box::new(deployment.node_settings(1).clone()));
    let ahead = Clock::unix_us() + AHEAD_US;
    let mut first = Kernel::start_above(settings.clone(), StopSignal::new(), ahead).unwrap();
    wait_until_served(&deployment, 0);
    first.abort();
    drop(first);
    let stop = StopSignal::new();
    let second = thread::spawn({
        let stop = stop.clone();
        move || run_until_stopped(&settings, &stop)
    });
    {
        let _stops = StopOnDrop(&stop);
        wait_until_served(&deployment, 0);
        assert!(!second.is_finished(), "the process has ended by itself");
    }
    second.join().unwrap().unwrap();
}

/// Stops the second process when the checks end, also if one fails.
struct StopOnDrop<'a>(&'a StopSignal);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.raise();
    }
}
