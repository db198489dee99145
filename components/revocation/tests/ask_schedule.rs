//! Guards against a node that loses its proof while replicas are silent, that finds a replica again too
//! late, or that asks too often. Replays the workloads in virtual time, without a network.

use revocation::AskSchedule;

const BOUND_US: u64 = 5_000_000;
const STEP_US: u64 = 1_000;
const REPLICAS: [usize; 5] = [0, 1, 2, 3, 4];
/// Time in which a replica answers: three round trips between the farthest zones.
const ANSWER_US: u64 = 18_000;

/// What a replica does with a question.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Answers,
    /// Says after this time that it has no leader.
    Fails(u64),
    /// The mesh gives up after this time.
    Silent(u64),
}

struct Run {
    asks: u64,
    answers: Vec<u64>,
}

/// Runs a node for this time; `behaviour` is asked at the time of each question.
fn run(until_us: u64, behaviour: impl Fn(u64, usize) -> Behaviour) -> Run {
    let mut schedule = AskSchedule::new(BOUND_US);
    let mut results: Vec<(u64, usize, bool)> = Vec::new();
    let mut run = Run {
        asks: 0,
        answers: Vec::new(),
    };
    for now_us in (0..until_us).step_by(STEP_US as usize) {
        let (due, later) = results.into_iter().partition(|(at, ..)| *at <= now_us);
        results = later;
        for (_, replica, has_answer) in due {
            if has_answer {
                schedule.on_answer(replica);
                run.answers.push(now_us);
            } else {
                schedule.on_failure(replica);
            }
        }
        for replica in schedule.take_due(now_us, &REPLICAS, 0.5) {
            run.asks += 1;
            results.push(match behaviour(now_us, replica) {
                Behaviour::Answers => (now_us + ANSWER_US, replica, true),
                Behaviour::Fails(after_us) | Behaviour::Silent(after_us) => {
                    (now_us + after_us, replica, false)
                }
            });
        }
        assert!(schedule.next_wake_us() <= now_us + 500_000 + STEP_US);
    }
    run
}

fn longest_gap_us(answers: &[u64]) -> u64 {
    let gaps = answers.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.chain([answers[0]]).max().unwrap()
}

#[test]
fn steady_rate() {
    let run = run(60_000_000, |_, _| Behaviour::Answers);
    assert_eq!(run.asks as usize, run.answers.len());
    assert!((119..=121).contains(&run.asks), "{} questions", run.asks);
}

/// Any two of five replicas are silent from some moment on. The next answer comes long before 0.4 of
/// the bound has passed, which is what a node must be able to lose.
#[test]
fn two_silent_replicas() {
    for first in 0..5 {
        for second in 0..first {
            let run = run(30_000_000, |now_us, replica| {
                let is_silent = replica == first || replica == second;
                match now_us >= 5_000_000 && is_silent {
                    true => Behaviour::Silent(750_000),
                    false => Behaviour::Answers,
                }
            });
            let gap_us = longest_gap_us(&run.answers);
            assert!(gap_us < BOUND_US * 2 / 5, "{first} and {second}: {gap_us}");
        }
    }
}

/// The path to all replicas is cut for 10 s, and connections are given up after 0.75 s; a question is
/// sent soon after its return. The mesh opens a connection within 0.2 s, so 0.1 s is left.
#[test]
fn path_returns() {
    for give_up_us in [2_000, 300_000, 750_000, 1_000_000] {
        let returned_us = 15_000_000;
        let run = run(30_000_000, |now_us, _| match now_us {
            5_000_000..15_000_000 => {
                // What waits for its connection when the path returns is sent then.
                match now_us + give_up_us > returned_us {
                    true => Behaviour::Answers,
                    false => Behaviour::Silent(give_up_us),
                }
            }
            _ => Behaviour::Answers,
        });
        let first = run.answers.iter().find(|at| **at >= returned_us).unwrap();
        let delay_us = first - returned_us;
        assert!(delay_us <= 100_000 + ANSWER_US, "{give_up_us}: {delay_us}");
    }
}

/// Without a leader replicas hold questions for a second; at most three per second are sent, of 100
/// bytes with their answers.
#[test]
fn no_leader() {
    let run = run(60_000_000, |_, _| Behaviour::Fails(1_000_000));
    assert!(run.asks <= 3 * 60 + 3, "{} questions", run.asks);
    assert!(run.answers.is_empty());
}

/// Replicas that refuse connections are not asked in a loop.
#[test]
fn refused_connections() {
    let run = run(60_000_000, |_, _| Behaviour::Fails(1_000));
    assert!(run.asks <= 50 * 60 + 5, "{} questions", run.asks);
}
