//! Whom a node asks for its proof, and when.
//!
//! Workload: a node must not lose its proof while any two of five replicas are silent, must get one
//! within 0.3 s of the return of its path to the group, and may use 300 bytes per second, also while
//! the group has no leader. A replica holds a question for a second while it can't answer, so at
//! most three questions per second are sent then.

/// Time without an answer after which two other replicas are asked; ten times a round trip and a
/// quorum read between the farthest zones.
const ANSWER_WAIT_US: u64 = 150_000;
/// Most questions that are open at once.
const MAX_OPEN: usize = 3;
/// Other replicas that are asked after a failure.
const ASKED_AFTER_FAILURE: usize = 2;
/// Shortest time between two questions to one replica, so that one that refuses connections is not
/// asked in a loop.
const REPEAT_PAUSE_US: u64 = 100_000;
/// Questions per bound at least, so that a short bound leaves time for several failures.
const ASKS_PER_BOUND: u64 = 10;
/// Interval of questions.
const MAX_INTERVAL_US: u64 = 500_000;
/// Random part of the interval, to both sides, so that nodes that started together spread out.
const JITTER: f64 = 0.2;

/// A question that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenAsk<R> {
    replica: R,
    asked_us: u64,
    /// Whether others were asked because its answer is late.
    is_late: bool,
}

/// Decides which replicas are asked; `R` identifies a replica.
#[derive(Clone, Debug)]
pub struct AskSchedule<R> {
    interval_us: u64,
    next_us: u64,
    /// The replica that answered last.
    preferred: Option<R>,
    open: Vec<OpenAsk<R>>,
    /// Replicas that were asked within the repeat pause, with the time of the question.
    recent: Vec<(R, u64)>,
    /// Questions that are due but found no replica that may be asked.
    due: usize,
    /// Replica at which the search for another one begins.
    rotation: usize,
}

impl<R: Copy + PartialEq> AskSchedule<R> {
    /// A schedule for proofs that are valid for `bound_us`; the first question is due at once.
    pub fn new(bound_us: u64) -> Self {
        AskSchedule {
            interval_us: MAX_INTERVAL_US.min(bound_us / ASKS_PER_BOUND),
            next_us: 0,
            preferred: None,
            open: Vec::new(),
            recent: Vec::new(),
            due: 0,
            rotation: 0,
        }
    }

    /// Makes the next question due at once, because the configuration changed.
    pub fn ask_now(&mut self, now_us: u64) {
        self.next_us = self.next_us.min(now_us);
    }

    /// The replicas of the list to ask now; they count as asked. `random` is a number from 0 to 1.
    pub fn take_due(&mut self, now_us: u64, replicas: &[R], random: f64) -> Vec<R> {
        self.recent
            .retain(|(_, asked_us)| now_us < asked_us + REPEAT_PAUSE_US);
        if now_us >= self.next_us {
            let factor = 1.0 + JITTER * (2.0 * random.clamp(0.0, 1.0) - 1.0);
            self.next_us = now_us + (self.interval_us as f64 * factor) as u64;
            self.due = self.due.max(1);
        }
        for ask in &mut self.open {
            if !ask.is_late && now_us >= ask.asked_us + ANSWER_WAIT_US {
                ask.is_late = true;
                self.due = ASKED_AFTER_FAILURE;
            }
        }
        let mut asked = Vec::new();
        while self.due > 0 && self.open.len() < MAX_OPEN {
            let Some(replica) = self.next_replica(replicas) else {
                break;
            };
            self.due -= 1;
            self.open.push(OpenAsk {
                replica,
                asked_us: now_us,
                is_late: false,
            });
            self.recent.push((replica, now_us));
            asked.push(replica);
        }
        asked
    }

    /// Records that a replica answered; no other needs to be asked.
    pub fn on_answer(&mut self, replica: R) {
        self.open.retain(|ask| ask.replica != replica);
        self.preferred = Some(replica);
        self.due = 0;
    }

    /// Records that a replica can't answer or can't be reached; two others are due.
    pub fn on_failure(&mut self, replica: R) {
        self.open.retain(|ask| ask.replica != replica);
        if self.preferred == Some(replica) {
            self.preferred = None;
        }
        self.due = ASKED_AFTER_FAILURE;
    }

    /// When `take_due` must be called next, if nothing happens before.
    pub fn next_wake_us(&self) -> u64 {
        let waiting = self.open.iter().filter(|ask| !ask.is_late);
        let late_us = waiting.map(|ask| ask.asked_us + ANSWER_WAIT_US);
        let may_ask = self.due > 0 && self.open.len() < MAX_OPEN;
        let pauses = self.recent.iter().filter(|_| may_ask);
        let pause_us = pauses.map(|(_, asked_us)| asked_us + REPEAT_PAUSE_US);
        late_us.chain(pause_us).fold(self.next_us, u64::min)
    }

    /// The replica that answered last, or the next one in turn, of those that may be asked now.
    fn next_replica(&mut self, replicas: &[R]) -> Option<R> {
        let may_be_asked = |replica: &R| {
            let is_open = self.open.iter().any(|ask| ask.replica == *replica);
            !is_open && !self.recent.iter().any(|(recent, _)| recent == replica)
        };
        let preferred = self.preferred.filter(|replica| replicas.contains(replica));
        if let Some(replica) = preferred.filter(may_be_asked) {
            return Some(replica);
        }
        let start = self.rotation;
        let turn = (0..replicas.len()).map(|step| (start + step) % replicas.len());
        let index = turn
            .into_iter()
            .find(|index| may_be_asked(&replicas[*index]))?;
        self.rotation = index + 1;
        Some(replicas[index])
    }
}
