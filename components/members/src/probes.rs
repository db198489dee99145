//! Failure detection: direct and indirect probes, suspicion and the local health score.

use crate::{
    info::{MemberAction, MemberState},
    members::Members,
    table::MergeResult,
    wire::{Body, Claim, Notice},
};
use rand::{
    RngExt,
    seq::{IndexedRandom, SliceRandom},
};
use std::{collections::BTreeMap, net::SocketAddr};

/// Timeout of a direct probe in percent of the probe period.
const DIRECT_PERCENT: u64 = 30;
/// Timeout of the indirect probes that follow, in percent of the probe period.
const INDIRECT_PERCENT: u64 = 50;
/// Members asked to probe a member that did not answer a direct probe.
const HELPERS: usize = 3;
/// Further members that must share a suspicion before its timeout is at its minimum.
const CONFIRMATIONS: usize = 2;
/// Expected number of members that probe a new suspect themselves.
const SUSPICION_CHECKERS: u32 = 3;
/// Shortest timeout of a suspicion in probe periods, and what each factor of ten in the region's
/// size adds. Together with the wait for the next probe (1 period), its timeouts (0.8) and gossip
/// (0.5), a failure among 270 members is known within 5 periods, and a member that pauses for 2.5
/// periods refutes the suspicion in time.
const SUSPICION_PERIODS: f64 = 1.6;
const SUSPICION_PERIODS_PER_DIGIT: f64 = 0.35;
/// Factor on the shortest timeout while no other member shares the suspicion.
const UNCONFIRMED_FACTOR: f64 = 1.5;
/// Highest local health score. The score rises while this node itself seems slow; the timeouts of
/// its probes are multiplied by the score plus one.
const MAX_HEALTH_SCORE: u64 = 8;
/// Expected probes of failed members per period by the whole region, to detect the end of a
/// partition.
const RECONNECT_PROBES: u32 = 5;

/// A probe that has not been answered yet.
#[derive(Debug)]
struct Probe {
    target: SocketAddr,
    /// When helpers are asked to probe the target as well.
    indirect_at_us: u64,
    timeout_at_us: u64,
    is_indirect: bool,
    helper_count: usize,
    nack_count: usize,
    /// Member that asked for this probe, and the nonce of its request; `None` for an own probe.
    relay_for: Option<(SocketAddr, u32)>,
}

/// A suspicion that its member has not refuted yet.
#[derive(Debug)]
struct Suspicion {
    started_us: u64,
    suspected_by: Vec<SocketAddr>,
}

/// Pending probes, suspicions and the local health score.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pending: BTreeMap<u32, Probe>,
    suspicions: BTreeMap<SocketAddr, Suspicion>,
    next_nonce: u32,
    next_probe_us: u64,
    period_count: u64,
    shuffled_peers: Vec<SocketAddr>,
    health_score: u64,
}

impl Probes {
    pub(crate) fn start_timer(&mut self, first_probe_us: u64) {
        self.next_probe_us = first_probe_us;
    }

    /// Ends a suspicion, because a newer record of the member arrived or the member died.
    pub(crate) fn end_suspicion(&mut self, subject: SocketAddr) {
        self.suspicions.remove(&subject);
    }

    pub(crate) fn raise_health_score(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// The member that joined the suspicion last.
    pub(crate) fn last_suspected_by(&self, subject: SocketAddr) -> Option<SocketAddr> {
        self.suspicions.get(&subject)?.suspected_by.last().copied()
    }

    fn is_probing(&self, target: SocketAddr) -> bool {
        self.pending
            .values()
            .any(|probe| probe.target == target && probe.relay_for.is_none())
    }
}

impl Members {
    /// Extends all timeouts by a time in which the local host stalled and received nothing.
    pub(crate) fn extend_timeouts(&mut self, gap_us: u64) {
        self.probes.raise_health_score();
        for probe in self.probes.pending.values_mut() {
            probe.indirect_at_us += gap_us;
            probe.timeout_at_us += gap_us;
        }
        for suspicion in self.probes.suspicions.values_mut() {
            suspicion.started_us += gap_us;
        }
    }

    /// A share of the probe period, extended by the local health score.
    fn scaled_timeout_us(&self, percent: u64) -> u64 {
        self.config.probe_period_us * percent / 100 * (1 + self.probes.health_score)
    }

    pub(crate) fn tick_probes(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        self.advance_probes(now_us, actions);
        self.expire_suspicions(now_us, actions);
        if now_us < self.probes.next_probe_us {
            return;
        }
        self.probes.next_probe_us = now_us + self.scaled_timeout_us(100);
        self.probes.period_count += 1;
        // Each member has a fixed prober, its predecessor in the ring, which bounds the time to
        // detection. Random probes find failed members whose predecessor failed as well.
        self.probe_successor(now_us, actions);
        if self.probes.period_count.is_multiple_of(2) {
            self.probe_random(now_us, actions);
        }
        self.probe_failed_member(actions);
    }

    fn probe_successor(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        let is_alive = |peer: SocketAddr| {
            let member = self.table.get(peer);
            member.is_some_and(|member| member.info.state == MemberState::Alive)
        };
        let mut successors = self.views.successors.iter();
        let target = successors.find(|peer| is_alive(**peer) && !self.probes.is_probing(**peer));
        if let Some(target) = target.copied() {
            self.probe(now_us, target, None, actions);
        }
    }

    fn probe_random(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        if self.probes.shuffled_peers.is_empty() {
            self.probes.shuffled_peers.clone_from(&self.views.peers);
            self.probes.shuffled_peers.shuffle(&mut self.rng);
        }
        while let Some(target) = self.probes.shuffled_peers.pop() {
            if self.is_own_region(target) && !self.probes.is_probing(target) {
                self.probe(now_us, target, None, actions);
                return;
            }
        }
    }

    /// Pings a random failed member, to detect that a partition has ended.
    fn probe_failed_member(&mut self, actions: &mut Vec<MemberAction>) {
        let size = u32::try_from(self.region_size()).unwrap_or(u32::MAX);
        if size > RECONNECT_PROBES && !self.rng.random_ratio(RECONNECT_PROBES, size) {
            return;
        }
        let failed: Vec<SocketAddr> = self.table.failed().collect();
        if let Some(target) = failed.choose(&mut self.rng).copied() {
            let nonce = self.next_nonce();
            self.send(target, Body::Ping { nonce }, actions);
        }
    }

    fn next_nonce(&mut self) -> u32 {
        self.probes.next_nonce = self.probes.next_nonce.wrapping_add(1);
        self.probes.next_nonce
    }

    fn probe(
        &mut self,
        now_us: u64,
        target: SocketAddr,
        relay_for: Option<(SocketAddr, u32)>,
        actions: &mut Vec<MemberAction>,
    ) {
        let nonce = self.next_nonce();
        let indirect_at_us = now_us + self.scaled_timeout_us(DIRECT_PERCENT);
        let probe = Probe {
            target,
            indirect_at_us,
            timeout_at_us: indirect_at_us + self.scaled_timeout_us(INDIRECT_PERCENT),
            is_indirect: false,
            helper_count: 0,
            nack_count: 0,
            relay_for,
        };
        self.probes.pending.insert(nonce, probe);
        self.send(target, Body::Ping { nonce }, actions);
    }

    /// Probes `target` for the member `from`.
    pub(crate) fn relay_probe(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        nonce: u32,
        target: SocketAddr,
        actions: &mut Vec<MemberAction>,
    ) {
        // Unknown targets are ignored, so that a member can't be used to send to other addresses.
        if self.table.get(target).is_some() {
            self.probe(now_us, target, Some((from, nonce)), actions);
        }
    }

    pub(crate) fn receive_ack(&mut self, nonce: u32, actions: &mut Vec<MemberAction>) {
        let Some(probe) = self.probes.pending.remove(&nonce) else {
            return;
        };
        match probe.relay_for {
            Some((origin, nonce)) => self.send(origin, Body::Ack { nonce }, actions),
            None => self.probes.health_score = self.probes.health_score.saturating_sub(1),
        }
    }

    pub(crate) fn receive_nack(&mut self, nonce: u32) {
        if let Some(probe) = self.probes.pending.get_mut(&nonce) {
            probe.nack_count += 1;
        }
    }

    /// Starts the indirect phase of probes, and ends those that have timed out.
    fn advance_probes(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        let due: Vec<u32> = self
            .probes
            .pending
            .iter()
            .filter(|(_, probe)| {
                now_us >= probe.timeout_at_us
                    || (!probe.is_indirect && now_us >= probe.indirect_at_us)
            })
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in due {
            let Some(probe) = self.probes.pending.remove(&nonce) else {
                continue;
            };
            match probe.relay_for {
                Some((origin, nonce)) => {
                    self.send(origin, Body::Nack { nonce }, actions);
                }
                None if !probe.is_indirect => self.probe_indirectly(now_us, nonce, probe, actions),
                None => self.handle_probe_timeout(now_us, &probe, actions),
            }
        }
    }

    fn probe_indirectly(
        &mut self,
        now_us: u64,
        nonce: u32,
        mut probe: Probe,
        actions: &mut Vec<MemberAction>,
    ) {
        let target = probe.target;
        let helpers: Vec<SocketAddr> = self
            .views
            .successors
            .sample(&mut self.rng, HELPERS + 1)
            .copied()
            .filter(|helper| *helper != target)
            .take(HELPERS)
            .collect();
        probe.is_indirect = true;
        probe.helper_count = helpers.len();
        // Starts now, so that a late tick doesn't shorten the time of the helpers.
        probe.timeout_at_us = now_us + self.scaled_timeout_us(INDIRECT_PERCENT);
        self.probes.pending.insert(nonce, probe);
        for helper in helpers {
            self.send(helper, Body::PingRequest { nonce, target }, actions);
        }
    }

    fn handle_probe_timeout(
        &mut self,
        now_us: u64,
        probe: &Probe,
        actions: &mut Vec<MemberAction>,
    ) {
        // If no helper answered at all, the fault may be at the local node.
        if probe.helper_count > 0 && probe.nack_count == 0 {
            self.probes.raise_health_score();
        }
        if self.is_own_region(probe.target) {
            self.suspect(now_us, probe.target, self.local.node.mesh, actions);
            self.probe_successor(now_us, actions);
        }
    }

    /// Records that `by` suspects a live member, and spreads that if it is new. Returns whether the
    /// member was not suspect before.
    fn suspect(
        &mut self,
        now_us: u64,
        subject: SocketAddr,
        by: SocketAddr,
        actions: &mut Vec<MemberAction>,
    ) -> bool {
        let is_new_suspect = self.table.suspect(subject, actions);
        let suspicion = self.probes.suspicions.entry(subject).or_insert(Suspicion {
            started_us: now_us,
            suspected_by: Vec::new(),
        });
        let is_full = suspicion.suspected_by.len() > CONFIRMATIONS;
        if !is_full && !suspicion.suspected_by.contains(&by) {
            suspicion.suspected_by.push(by);
            self.add_rumor(subject, false, false);
        }
        is_new_suspect
    }

    pub(crate) fn receive_suspicion(
        &mut self,
        now_us: u64,
        notice: &Notice,
        by: SocketAddr,
        actions: &mut Vec<MemberAction>,
    ) {
        let subject = notice.node.mesh;
        let Some(member) = self.table.get(subject) else {
            return;
        };
        let held = (member.info.node.incarnation, member.version.sequence);
        if (notice.node.incarnation, notice.sequence) < held {
            return;
        }
        if self.suspect(now_us, subject, by, actions) && self.is_chosen_to_check() {
            self.probe(now_us, subject, None, actions);
        }
    }

    /// Draws whether this node probes a new suspect itself.
    fn is_chosen_to_check(&mut self) -> bool {
        let size = u32::try_from(self.region_size()).unwrap_or(u32::MAX);
        size <= SUSPICION_CHECKERS + 1 || self.rng.random_ratio(SUSPICION_CHECKERS, size)
    }

    /// Timeout of a suspicion; it falls logarithmically with the number of members that confirm it.
    fn suspicion_timeout_us(&self, suspecting_count: usize) -> u64 {
        let size = self.region_size();
        let periods = SUSPICION_PERIODS + SUSPICION_PERIODS_PER_DIGIT * (size as f64).log10();
        let needed = CONFIRMATIONS.min(size.saturating_sub(2));
        let confirmed = suspecting_count.saturating_sub(1).min(needed);
        let share = if needed == 0 {
            0.0
        } else {
            ((confirmed + 1) as f64).ln() / ((needed + 1) as f64).ln()
        };
        let factor = UNCONFIRMED_FACTOR - (UNCONFIRMED_FACTOR - 1.0) * share;
        (self.config.probe_period_us as f64 * periods * factor) as u64
    }

    fn expire_suspicions(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        let due: Vec<SocketAddr> = self
            .probes
            .suspicions
            .iter()
            .filter(|(_, suspicion)| {
                let timeout_us = self.suspicion_timeout_us(suspicion.suspected_by.len());
                now_us >= suspicion.started_us + timeout_us
            })
            .map(|(subject, _)| *subject)
            .collect();
        for subject in due {
            self.probes.suspicions.remove(&subject);
            let Some(member) = self.table.get(subject) else {
                continue;
            };
            if member.info.state != MemberState::Suspect {
                continue;
            }
            let notice = Notice {
                node: member.info.node,
                sequence: member.version.sequence,
                claim: Claim::Failed,
            };
            if self.table.merge_dead(now_us, &notice, actions) == MergeResult::Newer {
                self.add_rumor(subject, false, true);
            }
        }
    }
}
