//! Quorum reads at a control replica that answer all nodes that wait.
//!
//! Workload: 1,900 nodes ask five replicas twice per second each, also while the leader changes. One
//! round runs at a time. A question is answered by a round that began after it arrived, so that it
//! never gets an older revision than the group had when it was asked.

use model::Revision;

/// Most questions that wait at one replica; more than nodes with three questions each.
const MAX_WAITING: usize = 8_192;

/// A question, and the time until which it may be answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Question<W> {
    until_us: u64,
    asker: W,
}

/// The questions at one replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RevisionReads<W> {
    waiting: Vec<Question<W>>,
    /// Questions that the running round answers.
    in_round: Vec<Question<W>>,
    is_running: bool,
}

impl<W> Default for RevisionReads<W> {
    fn default() -> Self {
        RevisionReads {
            waiting: Vec::new(),
            in_round: Vec::new(),
            is_running: false,
        }
    }
}

impl<W> RevisionReads<W> {
    /// Adds a question that arrived now and may wait until `until_us`. Returns it if too many wait.
    pub fn add(&mut self, until_us: u64, asker: W) -> Option<W> {
        if self.waiting.len() >= MAX_WAITING {
            return Some(asker);
        }
        self.waiting.push(Question { until_us, asker });
        None
    }

    /// Begins a round for all questions that wait; false if there is none or a round is running.
    pub fn begin_round(&mut self) -> bool {
        if self.is_running || self.waiting.is_empty() {
            return false;
        }
        self.is_running = true;
        self.in_round = std::mem::take(&mut self.waiting);
        true
    }

    /// Ends the round. Returns the questions that are answered now: all of the round with the
    /// revision that it read, or those whose time is over without one. The others wait for the next
    /// round.
    pub fn end_round(&mut self, now_us: u64, revision: Option<Revision>) -> Vec<W> {
        self.is_running = false;
        let ended = std::mem::take(&mut self.in_round);
        if revision.is_some() {
            return ended.into_iter().map(|question| question.asker).collect();
        }
        let (over, kept): (Vec<_>, Vec<_>) = ended
            .into_iter()
            .partition(|question| now_us >= question.until_us);
        self.waiting.extend(kept);
        over.into_iter().map(|question| question.asker).collect()
    }

    /// Whether questions wait for the next round.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}
