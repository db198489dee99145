//! Refuses calls of the local instance that would call a service which is short of capacity.
//!
//! Workload: instances of service A serve a call by calling service B, which is short of capacity. Each
//! call that B refuses makes the instance of A answer 500 after it has worked on its own call, so the
//! work is wasted. Such a call is refused before it runs.

mod profiles;
mod shortage;

use model::{AttemptId, Priority, ProfileName, ServiceName};
use profiles::ProfileCalls;
use shortage::{Shortage, shortage_us};
use std::collections::HashMap;

/// Maximum number of running calls whose own calls are recorded.
const MAX_RUNNING: usize = 4_096;
/// Maximum number of services that are recorded for one profile or one running call.
const MAX_SERVICES: usize = 8;
/// Maximum number of profiles; the one without a call for the longest time makes room.
const MAX_PROFILES: usize = 64;
/// Maximum number of services that are known to be short of capacity.
const MAX_SHORTAGES: usize = MAX_PROFILES * MAX_SERVICES;
/// Share of the calls of a profile that must call a service for the service to matter to all of them.
const MIN_SHARE: f64 = 0.5;

/// How a call of the local instance to a service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownstreamOutcome {
    /// An upstream of the service answered.
    Answered,
    /// It was refused for lack of capacity and has not run.
    Overloaded {
        /// Time after which its caller was told to retry.
        retry_after_us: u64,
    },
    /// Its owner refused it because a service that it would call is short of capacity. This time is
    /// recorded as it is: a shortage that lasted longer at each such refusal would never end where the
    /// calls of a service call the service itself.
    RefusedUntil {
        /// Time at which the owner expects to admit such calls, without the spread that its caller was
        /// told.
        until_us: u64,
    },
    /// The service had no upstream, and the call has not run.
    NoUpstream {
        /// Time after which its caller was told to retry.
        retry_after_us: u64,
    },
}

/// Why a call is refused on arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct DownstreamRefusal {
    /// Service that is short of capacity.
    pub service: ServiceName,
    /// Share of the calls of the profile that call it.
    pub share: f64,
    /// Time since the last call that showed the shortage.
    pub age_us: u64,
    /// Time until the shortage is considered to have ended, unless a later call shows it again.
    pub retry_after_us: u64,
    /// Time until a call may be admitted as the next probe.
    pub next_probe_in_us: u64,
}

/// Which services the calls of each profile call, and which of these services are short of capacity.
#[derive(Clone, Debug, Default)]
pub struct DownstreamCapacity {
    /// Services that each running call has called.
    running: HashMap<AttemptId, Vec<ServiceName>>,
    profiles: HashMap<ProfileName, ProfileCalls>,
    shortages: HashMap<ServiceName, Shortage>,
}

impl DownstreamCapacity {
    /// Records that a call starts at the local instance.
    pub fn start(&mut self, attempt: AttemptId) {
        if self.running.len() < MAX_RUNNING {
            self.running.entry(attempt).or_default();
        }
    }

    /// Records that the instance calls a service for a running call.
    pub fn record_call(&mut self, parent: AttemptId, service: &ServiceName) {
        if let Some(services) = self.running.get_mut(&parent)
            && services.len() < MAX_SERVICES
            && !services.contains(service)
        {
            services.push(service.clone());
        }
    }

    /// Records the end of a running call. One that ended without an answer before it called any service
    /// shows nothing of what the calls of its profile do.
    pub fn end(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        profile: &ProfileName,
        is_answered: bool,
    ) {
        let Some(services) = self.running.remove(&attempt) else {
            return;
        };
        if is_answered || !services.is_empty() {
            self.make_room_for(profile);
            let calls = self.profiles.entry(profile.clone()).or_default();
            calls.record(now_us, &services);
        }
    }

    /// Records how a call of the instance ended that was sent at `sent_us`. `priority` is that of the
    /// running call it was made for.
    ///
    /// The callee's owners serve higher priorities first. So a call refused for lack of capacity shows a
    /// shortage for its own and lower priorities, and an answer the end of it for its own and higher ones.
    pub fn record_outcome(
        &mut self,
        now_us: u64,
        sent_us: u64,
        service: &ServiceName,
        priority: Priority,
        outcome: DownstreamOutcome,
    ) {
        let (highest, until_us) = match outcome {
            DownstreamOutcome::Answered => {
                if let Some(shortage) = self.shortages.get_mut(service) {
                    shortage.end_from(priority, sent_us);
                }
                return;
            }
            DownstreamOutcome::Overloaded { retry_after_us } => {
                (priority, now_us + shortage_us(retry_after_us))
            }
            DownstreamOutcome::RefusedUntil { until_us } => (priority, until_us),
            DownstreamOutcome::NoUpstream { retry_after_us } => {
                (Priority::High, now_us + shortage_us(retry_after_us))
            }
        };
        if !self.shortages.contains_key(service) && self.shortages.len() >= MAX_SHORTAGES {
            self.shortages
                .retain(|_, shortage| shortage.is_active(now_us));
            if self.shortages.len() >= MAX_SHORTAGES {
                return;
            }
        }
        let shortage = self.shortages.entry(service.clone()).or_default();
        shortage.extend(now_us, highest, until_us);
    }

    /// Decides about a call on its arrival: admits it, perhaps as a probe, or refuses it.
    pub fn admit(
        &mut self,
        now_us: u64,
        profile: &ProfileName,
        priority: Priority,
    ) -> Result<(), DownstreamRefusal> {
        let refusal = self.preview(now_us, profile, priority);
        let services = self.services_of(profile);
        for service in services {
            let Some(shortage) = self.shortages.get_mut(&service) else {
                continue;
            };
            if shortage.period(now_us, priority).is_none() {
                continue;
            }
            match refusal {
                Some(_) => shortage.record_refusal(now_us, priority),
                None => shortage.take_probe(now_us, priority),
            }
        }
        refusal.map_or(Ok(()), Err)
    }

    /// Why `admit` would refuse a call now, if it would.
    pub fn preview(
        &self,
        now_us: u64,
        profile: &ProfileName,
        priority: Priority,
    ) -> Option<DownstreamRefusal> {
        let calls = self.profiles.get(profile)?;
        let refusals = calls.shares(MIN_SHARE).filter_map(|(service, share)| {
            let shortage = self.shortages.get(service)?;
            let period = shortage.period(now_us, priority)?;
            (!shortage.is_probe_due(now_us, priority)).then(|| DownstreamRefusal {
                service: service.clone(),
                share,
                age_us: now_us.saturating_sub(period.last_seen_us),
                retry_after_us: period.until_us - now_us,
                next_probe_in_us: shortage.next_probe_in_us(now_us),
            })
        });
        refusals.max_by_key(|refusal| refusal.retry_after_us)
    }

    fn services_of(&self, profile: &ProfileName) -> Vec<ServiceName> {
        // Saves the allocation until a first shortage is recorded. Shortages that have ended are kept.
        if self.shortages.is_empty() {
            return Vec::new();
        }
        let calls = self.profiles.get(profile);
        calls.map_or_else(Vec::new, |calls| {
            let shares = calls.shares(MIN_SHARE);
            shares.map(|(service, _)| service.clone()).collect()
        })
    }

    fn make_room_for(&mut self, profile: &ProfileName) {
        if self.profiles.len() < MAX_PROFILES || self.profiles.contains_key(profile) {
            return;
        }
        let oldest = self
            .profiles
            .iter()
            .min_by_key(|(_, calls)| calls.updated_us())
            .map(|(name, _)| name.clone());
        if let Some(oldest) = oldest {
            self.profiles.remove(&oldest);
        }
    }
}
