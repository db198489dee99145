//! Guards against a process that was paused and takes its peers for silent: a connection must get
//! the time that the pause has taken from it, and no more.

use super::LastPause;

const MS: u64 = 1_000;
const SHORTEST_US: u64 = 250 * MS;

#[test]
fn pause_is_not_silence() {
    let pause = LastPause::default();
    pause.record(2_000 * MS, 1_000 * MS, SHORTEST_US);
    // The last frame came before the pause.
    assert_eq!(pause.after_us(900 * MS), 1_000 * MS);
    // It came during the pause, as far as the timer thread can tell.
    assert_eq!(pause.after_us(1_600 * MS), 400 * MS);
    assert_eq!(pause.after_us(2_500 * MS), 0);
}

/// Usual delays must not keep a connection to a dead peer open.
#[test]
fn short_delays_ignored() {
    let pause = LastPause::default();
    pause.record(1_200 * MS, 200 * MS, SHORTEST_US);
    assert_eq!(pause.after_us(0), 0);
}
