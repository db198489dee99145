//! Spreads what a node knows of crash suspects to all others.
//!
//! News goes to random peers for a few rounds, each incident once. Every second a node also compares
//! digests of its table with one random peer, and the two exchange the parts that differ: a message
//! that was lost, and a node that was cut off or has just started, are caught up with in this way.
//! Sent bytes have a budget. A part of it is kept for incidents of the own upstream and for requests
//! that are refused; news of other calls that were in flight at a crash may wait.

use crate::{
    digest::{DIGEST_PARTS, Digest},
    table::{CrashSuspects, SuspectReport},
};
use limits::ByteBudget;
use rand::{
    RngExt, SeedableRng,
    seq::{IndexedRandom, SliceRandom},
};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Budget for messages in bytes per second, headers included.
const BYTES_PER_S: u32 = 600;
/// Largest encoded message, so that it fits a datagram of the mesh.
pub const MAX_MESSAGE_BYTES: usize = 1_050;
/// IP, UDP and mesh headers of one message in bytes, counted against the budget.
const OVERHEAD_BYTES: usize = 90;
/// Longest encoding of one report in bytes, and its usual length, which is counted against the
/// budget: numbers and ages are small.
const LONGEST_REPORT_BYTES: usize = 40;
const REPORT_BYTES: usize = 32;
/// Reports in one message.
pub const MAX_REPORTS: usize = MAX_MESSAGE_BYTES / LONGEST_REPORT_BYTES;
/// Encoded digest in bytes.
const DIGEST_BYTES: usize = 5 * DIGEST_PARTS + 2;
/// Peers that receive each round of news.
const FAN_OUT: usize = 3;
/// Time between two rounds of news.
const ROUND_US: u64 = 100_000;
/// Time between two comparisons with a peer while there are suspects.
const COMPARE_US: u64 = 1_000_000;
/// Time between two comparisons of a node that knows no suspects: after a partition it may be the
/// only one.
const IDLE_COMPARE_US: u64 = 5_000_000;
/// Time after the start in which a node without suspects compares as often as others.
const START_US: u64 = 10_000_000;
/// Time between two comparisons of a node that starts, until one shows that it knows what its peer
/// knows.
const START_COMPARE_US: u64 = 50_000;
/// Time after the start at which a node serves although no peer has answered.
const MAX_START_US: u64 = 500_000;
/// Messages with which one comparison is answered; the rest follows after the next one.
const MAX_ANSWER_MESSAGES: usize = 8;
/// Incidents whose news waits to be sent; beyond that the most often sent one is dropped and left
/// to the comparisons.
const MAX_NEWS: usize = 256;

/// Message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectMessage {
    /// Reports that the receiver passes on if they are new to it.
    News(Vec<SuspectReport>),
    /// Reports that the receiver asked for by its digest; they are not passed on.
    Part(Vec<SuspectReport>),
    /// Digest of the sender's table. The receiver answers with the reports of the parts that differ
    /// and, if `wants_digest`, with its own digest.
    Digest {
        /// Hash of each part of the table.
        digest: Digest,
        /// Whether the sender compares, and doesn't answer a comparison.
        wants_digest: bool,
    },
}

/// Message to send, and its receiver.
pub type Outgoing = (SocketAddr, SuspectMessage);

/// Result of a received message.
#[derive(Debug, Default)]
pub struct Received {
    /// Answers.
    pub answers: Vec<Outgoing>,
    /// Reports that changed the table.
    pub learned: Vec<SuspectReport>,
}

/// News of one incident.
#[derive(Clone, Copy, Debug)]
struct News {
    report: SuspectReport,
    /// Whether the incident was recorded here, so that nobody else knows it.
    is_own: bool,
    rounds: u32,
}

impl News {
    fn is_urgent(&self, now_us: u64, table: &CrashSuspects) -> bool {
        self.is_own || table.is_quarantined(now_us, &self.report.fingerprint)
    }
}

/// State of the exchange at one node.
#[derive(Debug)]
pub struct SuspectExchange {
    rng: Pcg64Mcg,
    budget: ByteBudget,
    news: Vec<News>,
    started_us: u64,
    next_round_us: u64,
    next_compare_us: u64,
    /// Whether a peer's table was equal to this node's, or none answered in time.
    is_caught_up: bool,
}

impl SuspectExchange {
    /// State of a node that starts now.
    pub fn new(now_us: u64, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // A random delay keeps nodes that start together from comparing at the same moments.
        let next_compare_us = now_us + rng.random_range(0..START_COMPARE_US);
        SuspectExchange {
            rng,
            budget: ByteBudget::new(BYTES_PER_S),
            news: Vec::new(),
            started_us: now_us,
            next_round_us: now_us,
            next_compare_us,
            is_caught_up: false,
        }
    }

    /// Whether this node knows what its peers know since its start, so that it may run calls.
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Incidents whose news is still being sent.
    pub fn waiting(&self) -> usize {
        self.news.len()
    }

    /// Bytes that may be sent at once; nothing is sent while this is not above 0.
    pub fn budget_bytes(&self) -> i64 {
        self.budget.tokens()
    }

    /// Sends what is due to some of `peers`, the live nodes without this one. Also called right
    /// after a change of the table.
    pub fn tick(
        &mut self,
        now_us: u64,
        table: &mut CrashSuspects,
        peers: &[SocketAddr],
    ) -> Vec<Outgoing> {
        self.budget.refill(now_us);
        self.is_caught_up |= now_us >= self.started_us + MAX_START_US;
        let changes = table.take_changes(now_us);
        // Own changes don't wait for the next round: the caller may send the request again at once.
        let is_due = now_us >= self.next_round_us || !changes.is_empty();
        for report in changes {
            self.add_news(report, true);
        }
        let mut outgoing = Vec::new();
        if is_due && !self.news.is_empty() {
            self.next_round_us = now_us + ROUND_US;
            self.send_news(now_us, table, peers, &mut outgoing);
        }
        if now_us >= self.next_compare_us {
            self.next_compare_us = now_us + self.compare_interval_us(now_us, table);
            self.compare(now_us, table, peers, &mut outgoing);
        }
        outgoing
    }

    fn compare_interval_us(&self, now_us: u64, table: &CrashSuspects) -> u64 {
        if !self.is_caught_up {
            START_COMPARE_US
        } else if table.is_empty() && now_us > self.started_us + START_US {
            IDLE_COMPARE_US
        } else {
            COMPARE_US
        }
    }

    fn compare(
        &mut self,
        now_us: u64,
        table: &CrashSuspects,
        peers: &[SocketAddr],
        outgoing: &mut Vec<Outgoing>,
    ) {
        let Some(peer) = peers.choose(&mut self.rng) else {
            return;
        };
        let message = SuspectMessage::Digest {
            digest: table.digest(now_us),
            wants_digest: true,
        };
        self.push_routine(outgoing, *peer, message, DIGEST_BYTES);
    }

    /// Handles a message of the node at `from`.
    pub fn receive(
        &mut self,
        now_us: u64,
        table: &mut CrashSuspects,
        from: SocketAddr,
        message: SuspectMessage,
    ) -> Received {
        self.budget.refill(now_us);
        let mut received = Received::default();
        match message {
            SuspectMessage::News(reports) => {
                received.learned = merge_all(now_us, table, reports);
                for report in &received.learned {
                    self.add_news(*report, false);
                }
            }
            SuspectMessage::Part(reports) => {
                received.learned = merge_all(now_us, table, reports);
            }
            SuspectMessage::Digest {
                digest,
                wants_digest,
            } => self.answer_digest(
                now_us,
                table,
                from,
                digest,
                wants_digest,
                &mut received.answers,
            ),
        }
        received
    }

    fn add_news(&mut self, report: SuspectReport, is_own: bool) {
        let is_same = |news: &News| {
            (news.report.fingerprint, news.report.incident) == (report.fingerprint, report.incident)
        };
        self.news.retain(|news| !is_same(news));
        if self.news.len() >= MAX_NEWS
            && let Some(most_sent) =
                (0..self.news.len()).max_by_key(|index| self.news[*index].rounds)
        {
            self.news.swap_remove(most_sent);
        }
        self.news.push(News {
            report,
            is_own,
            rounds: 0,
        });
    }

    /// Sends news to some peers, as much as fits one message: what is urgent, then what was sent
    /// least often.
    fn send_news(
        &mut self,
        now_us: u64,
        table: &CrashSuspects,
        peers: &[SocketAddr],
        outgoing: &mut Vec<Outgoing>,
    ) {
        let targets: Vec<SocketAddr> = peers.sample(&mut self.rng, FAN_OUT).copied().collect();
        if targets.is_empty() || !self.budget.has_tokens() {
            return;
        }
        // The number of rounds grows with the logarithm of the number of nodes, as the time does
        // until everybody has heard of an incident. What is still missed is left to comparisons.
        let rounds = 1 + (peers.len() + 1).ilog10();
        let with_all = self.budget.can_send_routine_updates();
        let order = |news: &News| (!news.is_urgent(now_us, table), news.rounds);
        self.news.sort_by_cached_key(order);
        let due = self.news.iter_mut().take(MAX_REPORTS);
        let reports: Vec<SuspectReport> = due
            .filter(|news| with_all || news.is_urgent(now_us, table))
            .filter_map(|news| {
                news.rounds += 1;
                // Age and state are those of now, not of the time at which the news came in.
                table.report(now_us, &news.report.fingerprint, news.report.incident)
            })
            .collect();
        self.news.retain(|news| news.rounds < rounds);
        if reports.is_empty() {
            return;
        }
        let bytes = reports.len() * REPORT_BYTES;
        for target in targets {
            self.push(
                outgoing,
                target,
                SuspectMessage::News(reports.clone()),
                bytes,
            );
        }
    }

    fn answer_digest(
        &mut self,
        now_us: u64,
        table: &CrashSuspects,
        from: SocketAddr,
        theirs: Digest,
        wants_digest: bool,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let digest = table.digest(now_us);
        self.is_caught_up |= digest == theirs && !wants_digest;
        if digest != theirs {
            let mut reports = table.reports_of_parts(now_us, digest.differing_parts(&theirs));
            // What one answer can't hold starts elsewhere the next time.
            reports.shuffle(&mut self.rng);
            reports.sort_by_key(|r| !table.is_quarantined(now_us, &r.fingerprint));
            for part in reports.chunks(MAX_REPORTS).take(MAX_ANSWER_MESSAGES) {
                let bytes = part.len() * REPORT_BYTES;
                self.push_routine(outgoing, from, SuspectMessage::Part(part.to_vec()), bytes);
            }
        }
        if wants_digest {
            let message = SuspectMessage::Digest {
                digest,
                wants_digest: false,
            };
            self.push_routine(outgoing, from, message, DIGEST_BYTES);
        }
    }

    /// Queues a comparison or its answer, unless what is left of the budget is kept for urgent news.
    fn push_routine(
        &mut self,
        outgoing: &mut Vec<Outgoing>,
        to: SocketAddr,
        message: SuspectMessage,
        bytes: usize,
    ) {
        if self.budget.can_send_digests() {
            self.push(outgoing, to, message, bytes);
        }
    }

    /// Queues a message unless the budget is spent.
    fn push(
        &mut self,
        outgoing: &mut Vec<Outgoing>,
        to: SocketAddr,
        message: SuspectMessage,
        bytes: usize,
    ) {
        if self.budget.has_tokens() {
            self.budget.spend(bytes + OVERHEAD_BYTES);
            outgoing.push((to, message));
        }
    }
}

/// Merges reports and returns those that changed the table.
fn merge_all(
    now_us: u64,
    table: &mut CrashSuspects,
    reports: Vec<SuspectReport>,
) -> Vec<SuspectReport> {
    reports
        .into_iter()
        .filter(|report| table.merge(now_us, report))
        .collect()
}
