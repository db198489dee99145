//! Failure detection: direct and indirect probes, suspicion and local health.

use crate::{
    info::{MemberAction, MemberState},
    members::Members,
    table::Merge,
    wire::{Body, Claim, Notice},
};
use rand::{
    RngExt,
    seq::{IndexedRandom, SliceRandom},
};
use std::{collections::BTreeMap, net::SocketAddr};

/// Time for a direct answer, as a share of the period.
const DIRECT_PERCENT: u64 = 30;
/// Time for indirect answers, as a share of the period.
const INDIRECT_PERCENT: u64 = 50;
/// Members asked to probe a silent one.
const HELPERS: usize = 3;
/// Further accusers that shorten a suspicion to its minimum.
const CONFIRMATIONS: usize = 2;
/// Members that are expected to check a suspicion by a probe of their own.
const CHECKERS: u32 = 3;
/// Shortest suspicion in periods, for one member and for each tenfold size. With the wait for the
/// next probe (1 period), its timeouts (0.8) and gossip (0.5), a failure among 270 members is known
/// within 5 periods; a pause of 2.5 periods is refuted in time.
const SUSPICION_PERIODS: f64 = 1.6;
const SUSPICION_PERIODS_PER_DIGIT: f64 = 0.35;
/// Factor on the shortest suspicion while no other member confirms it.
const UNCONFIRMED_FACTOR: f64 = 1.5;
/// Highest local health score; timeouts are multiplied by the score plus one.
const MAX_HEALTH: u64 = 8;
/// Probes of failed members per period over the whole region, to find the end of a partition.
const RECONNECTS: u32 = 5;

#[derive(Debug)]
struct Probe {
    target: SocketAddr,
    indirect_us: u64,
    ends_us: u64,
    is_indirect: bool,
    helpers: usize,
    nacks: usize,
    /// Member and nonce for which this probe is made.
    relay: Option<(SocketAddr, u32)>,
}

#[derive(Debug)]
struct Suspicion {
    started_us: u64,
    accusers: Vec<SocketAddr>,
}

/// Probes under way, suspicions and the local health score.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    running: BTreeMap<u32, Probe>,
    suspicions: BTreeMap<SocketAddr, Suspicion>,
    next_nonce: u32,
    next_probe_us: u64,
    periods: u64,
    order: Vec<SocketAddr>,
    health: u64,
}

impl Probes {
    pub(crate) fn start(&mut self, first_probe_us: u64) {
        self.next_probe_us = first_probe_us;
    }

    /// Ends the suspicion of a member whose record is newer or which died.
    pub(crate) fn forget(&mut self, subject: SocketAddr) {
        self.suspicions.remove(&subject);
    }

    pub(crate) fn raise_health(&mut self) {
        self.health = (self.health + 1).min(MAX_HEALTH);
    }

    /// The latest accuser of a suspect.
    pub(crate) fn accuser(&self, subject: SocketAddr) -> Option<SocketAddr> {
        self.suspicions.get(&subject)?.accusers.last().copied()
    }

    fn is_probing(&self, target: SocketAddr) -> bool {
        self.running
            .values()
            .any(|probe| probe.target == target && probe.relay.is_none())
    }
}

impl Members {
    /// Doesn't blame others for a time in which the local host stood still.
    pub(crate) fn excuse_gap(&mut self, gap_us: u64) {
        self.probes.raise_health();
        for probe in self.probes.running.values_mut() {
            probe.indirect_us += gap_us;
            probe.ends_us += gap_us;
        }
        for suspicion in self.probes.suspicions.values_mut() {
            suspicion.started_us += gap_us;
        }
    }

    fn scaled_us(&self, percent: u64) -> u64 {
        self.config.probe_period_us * percent / 100 * (1 + self.probes.health)
    }

    pub(crate) fn tick_probes(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        self.check_probes(now_us, actions);
        self.check_suspicions(now_us, actions);
        if now_us < self.probes.next_probe_us {
            return;
        }
        self.probes.next_probe_us = now_us + self.scaled_us(100);
        self.probes.periods += 1;
        // The ring gives each member one fixed prober, which bounds the time to detection; the
        // random probes find failures whose ring predecessor failed as well.
        self.probe_successor(now_us, actions);
        if self.probes.periods.is_multiple_of(2) {
            self.probe_random(now_us, actions);
        }
        self.probe_failed(now_us, actions);
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
        if self.probes.order.is_empty() {
            self.probes.order.clone_from(&self.views.peers);
            self.probes.order.shuffle(&mut self.rng);
        }
        while let Some(target) = self.probes.order.pop() {
            if self.is_own_region(target) && !self.probes.is_probing(target) {
                self.probe(now_us, target, None, actions);
                return;
            }
        }
    }

    fn probe_failed(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        let size = u32::try_from(self.region_size()).unwrap_or(u32::MAX);
        if size > RECONNECTS && !self.rng.random_ratio(RECONNECTS, size) {
            return;
        }
        let failed: Vec<SocketAddr> = self.table.failed().collect();
        if let Some(target) = failed.choose(&mut self.rng).copied() {
            let nonce = self.nonce();
            self.send(now_us, target, Body::Ping { nonce }, actions);
        }
    }

    fn nonce(&mut self) -> u32 {
        self.probes.next_nonce = self.probes.next_nonce.wrapping_add(1);
        self.probes.next_nonce
    }

    fn probe(
        &mut self,
        now_us: u64,
        target: SocketAddr,
        relay: Option<(SocketAddr, u32)>,
        actions: &mut Vec<MemberAction>,
    ) {
        let nonce = self.nonce();
        let indirect_us = now_us + self.scaled_us(DIRECT_PERCENT);
        let probe = Probe {
            target,
            indirect_us,
            ends_us: indirect_us + self.scaled_us(INDIRECT_PERCENT),
            is_indirect: false,
            helpers: 0,
            nacks: 0,
            relay,
        };
        self.probes.running.insert(nonce, probe);
        self.send(now_us, target, Body::Ping { nonce }, actions);
    }

    pub(crate) fn relay_probe(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        nonce: u32,
        target: SocketAddr,
        actions: &mut Vec<MemberAction>,
    ) {
        // Unknown targets are refused, so that members can't be used to send to other addresses.
        if self.table.get(target).is_some() {
            self.probe(now_us, target, Some((from, nonce)), actions);
        }
    }

    pub(crate) fn receive_ack(&mut self, now_us: u64, nonce: u32, actions: &mut Vec<MemberAction>) {
        let Some(probe) = self.probes.running.remove(&nonce) else {
            return;
        };
        match probe.relay {
            Some((origin, nonce)) => self.send(now_us, origin, Body::Ack { nonce }, actions),
            None => self.probes.health = self.probes.health.saturating_sub(1),
        }
    }

    pub(crate) fn receive_nack(&mut self, nonce: u32) {
        if let Some(probe) = self.probes.running.get_mut(&nonce) {
            probe.nacks += 1;
        }
    }

    fn check_probes(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        let due: Vec<u32> = self
            .probes
            .running
            .iter()
            .filter(|(_, probe)| {
                now_us >= probe.ends_us || (!probe.is_indirect && now_us >= probe.indirect_us)
            })
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in due {
            let Some(probe) = self.probes.running.remove(&nonce) else {
                continue;
            };
            match probe.relay {
                Some((origin, nonce)) => {
                    self.send(now_us, origin, Body::Nack { nonce }, actions);
                }
                None if !probe.is_indirect => self.probe_indirectly(now_us, nonce, probe, actions),
                None => self.probe_lost(now_us, &probe, actions),
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
        probe.helpers = helpers.len();
        // Counts from now, so that a late tick doesn't cut the helpers' time.
        probe.ends_us = now_us + self.scaled_us(INDIRECT_PERCENT);
        self.probes.running.insert(nonce, probe);
        for helper in helpers {
            self.send(now_us, helper, Body::PingRequest { nonce, target }, actions);
        }
    }

    fn probe_lost(&mut self, now_us: u64, probe: &Probe, actions: &mut Vec<MemberAction>) {
        // Without any helper's answer the fault may be on this side.
        if probe.helpers > 0 && probe.nacks == 0 {
            self.probes.raise_health();
        }
        if self.is_own_region(probe.target) {
            self.accuse(now_us, probe.target, self.local.node.mesh, actions);
            self.probe_successor(now_us, actions);
        }
    }

    /// Adds an accuser to a live member's suspicion; spreads it if that is new.
    fn accuse(
        &mut self,
        now_us: u64,
        subject: SocketAddr,
        by: SocketAddr,
        actions: &mut Vec<MemberAction>,
    ) -> bool {
        let is_first = self.table.suspect(subject, actions);
        let suspicion = self.probes.suspicions.entry(subject).or_insert(Suspicion {
            started_us: now_us,
            accusers: Vec::new(),
        });
        let is_full = suspicion.accusers.len() > CONFIRMATIONS;
        if !is_full && !suspicion.accusers.contains(&by) {
            suspicion.accusers.push(by);
            self.add_rumor(subject, false, false);
        }
        is_first
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
        let held = (member.info.node.incarnation, member.stamp.sequence);
        if (notice.node.incarnation, notice.sequence) < held {
            return;
        }
        if self.accuse(now_us, subject, by, actions) && self.is_checker() {
            self.probe(now_us, subject, None, actions);
        }
    }

    fn is_checker(&mut self) -> bool {
        let size = u32::try_from(self.region_size()).unwrap_or(u32::MAX);
        size <= CHECKERS + 1 || self.rng.random_ratio(CHECKERS, size)
    }

    fn suspicion_us(&self, accusers: usize) -> u64 {
        let size = self.region_size();
        let periods = SUSPICION_PERIODS + SUSPICION_PERIODS_PER_DIGIT * (size as f64).log10();
        let needed = CONFIRMATIONS.min(size.saturating_sub(2));
        let confirmed = accusers.saturating_sub(1).min(needed);
        let share = if needed == 0 {
            0.0
        } else {
            ((confirmed + 1) as f64).ln() / ((needed + 1) as f64).ln()
        };
        let factor = UNCONFIRMED_FACTOR - (UNCONFIRMED_FACTOR - 1.0) * share;
        (self.config.probe_period_us as f64 * periods * factor) as u64
    }

    fn check_suspicions(&mut self, now_us: u64, actions: &mut Vec<MemberAction>) {
        let due: Vec<SocketAddr> = self
            .probes
            .suspicions
            .iter()
            .filter(|(_, suspicion)| {
                let timeout_us = self.suspicion_us(suspicion.accusers.len());
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
                sequence: member.stamp.sequence,
                claim: Claim::Failed,
            };
            if self.table.merge_dead(now_us, &notice, actions) == Merge::Newer {
                self.add_rumor(subject, false, true);
            }
        }
    }
}
