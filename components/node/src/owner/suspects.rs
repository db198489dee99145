//! Evidence on the calls that the local instance cuts off: whether it has ended or lived on, and
//! whether a suspected call may start.

use super::{
    crash_incidents::{CrashIncidents, IncidentNumber},
    instance::Job,
    state::Owner,
};
use crate::health_request::health_request;
use errors::ErrorKind;
use http::{AsyncPool, CallError, CancelToken};
use kernel::Event;
use model::{AttemptId, Fingerprint, ServiceName};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use suspects::{IncidentId, Verdict};
use wire::RunCall;

/// Time after a cut-off at which an instance that still answers over an older connection has lived
/// through it. Before that a process that is ending may still answer.
const SURVIVAL_TIME: Duration = Duration::from_secs(2);
/// Checks for that, if all older connections carry calls at the time.
const SURVIVAL_CHECKS: u32 = 4;
const SURVIVAL_CHECK_PAUSE: Duration = Duration::from_millis(400);
/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Most incidents that wait for a check; the oldest beyond that are not checked.
const MAX_OPEN_INCIDENTS: usize = 64;

/// An incident of which it isn't known whether the instance has ended.
struct OpenIncident {
    id: IncidentId,
    cut_off: Instant,
    service: ServiceName,
    pool: Arc<AsyncPool>,
    check_at: Instant,
    checks_left: u32,
}

/// The call that this owner tries, although it may crash the instance.
struct Trial {
    attempt: AttemptId,
    ends_us: u64,
}

/// Incidents of the local instance and the trial that runs there.
pub(super) struct Suspicions {
    /// Random part of the ids of the incidents. Start times don't do: those of two nodes may be
    /// equal, and their incidents would count as one.
    origin: u64,
    incidents: Mutex<CrashIncidents>,
    open: Mutex<VecDeque<OpenIncident>>,
    trial: Mutex<Option<Trial>>,
}

impl Default for Suspicions {
    fn default() -> Self {
        Suspicions {
            origin: rand::random(),
            incidents: Mutex::default(),
            open: Mutex::default(),
            trial: Mutex::default(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn is_running(trial: Option<&Trial>, now_us: u64) -> bool {
    trial.is_some_and(|trial| trial.ends_us > now_us)
}

impl Owner {
    /// Records a call that was cut off as a suspect of having crashed the instance. It is recorded
    /// before anything is checked, because its caller may send the request again at once.
    pub(super) fn suspect_crash(self: &Arc<Self>, job: &Job, started_us: u64) {
        let now_us = self.now_us();
        let call = &job.call;
        let IncidentNumber { number, is_new } =
            lock(&self.suspicions.incidents).incident_of(now_us, started_us);
        let id = IncidentId {
            origin: self.suspicions.origin,
            number,
        };
        let is_trial = self.is_trial(call.attempt);
        let evidence = self
            .context
            .record_crash(now_us, id, &call.fingerprint, is_trial);
        log::warn!(
            "owner: call {} was cut off by instance {}, crash incident {number}{}; request {}: \
             {evidence}.",
            call.attempt,
            call.upstream,
            if is_trial { ", in a trial" } else { "" },
            call.fingerprint
        );
        if is_new {
            self.watch_incident(id, &job.pool);
        }
    }

    /// Checks at once whether the instance has ended, and later whether it has lived on.
    fn watch_incident(self: &Arc<Self>, id: IncidentId, pool: &Arc<AsyncPool>) {
        let service = self
            .lock_instance()
            .as_ref()
            .map(|instance| instance.upstream.service.clone());
        let Some(service) = service else {
            return;
        };
        let cut_off = Instant::now();
        {
            let mut open = lock(&self.suspicions.open);
            open.push_back(OpenIncident {
                id,
                cut_off,
                service: service.clone(),
                pool: Arc::clone(pool),
                check_at: cut_off + SURVIVAL_TIME,
                checks_left: SURVIVAL_CHECKS,
            });
            if open.len() > MAX_OPEN_INCIDENTS {
                open.pop_front();
            }
        }
        let request = health_request(&self.context.kernel, &service);
        let owner = Arc::clone(self);
        self.context.kernel.metrics.health_checks.inc();
        let deadline = cut_off + CHECK_TIMEOUT;
        self.begin_crash_check(pool);
        let checked = Arc::clone(pool);
        pool.call(&request, deadline, &CancelToken::new(), move |outcome| {
            owner.end_counted_check(&checked);
            // An answer is no evidence: the listener of a process that is ending may answer.
            if matches!(outcome, Err(CallError::NotSent)) {
                owner.confirm_crash(id);
            }
            if let Ok(response) = &outcome {
                owner.read_cold_header(response);
            }
        });
    }

    fn confirm_crash(&self, id: IncidentId) {
        lock(&self.suspicions.open).retain(|open| open.id != id);
        let suspects = &self.context.kernel.suspects;
        let requests = suspects.with(|suspects| suspects.confirm_crash(id));
        self.context.count_suspects("confirmed");
        log::info!(
            "owner: crash incident {} is confirmed, the instance takes no connection; {requests} \
             requests were in flight.",
            id.number
        );
        self.expect_cold_start();
        self.publish_suspects();
    }

    /// Checks whether the instance has lived through the incidents that are old enough.
    pub(super) fn check_survival(self: &Arc<Self>) {
        let now = Instant::now();
        let due: VecDeque<OpenIncident> = {
            let mut open = lock(&self.suspicions.open);
            let (due, rest) = open.drain(..).partition(|open| open.check_at <= now);
            *open = rest;
            due
        };
        for incident in due {
            let request = health_request(&self.context.kernel, &incident.service);
            let owner = Arc::clone(self);
            self.context.kernel.metrics.health_checks.inc();
            let pool = Arc::clone(&incident.pool);
            let (cut_off, deadline) = (incident.cut_off, now + CHECK_TIMEOUT);
            self.begin_crash_check(&pool);
            let checked = Arc::clone(&pool);
            pool.call_over_older(&request, cut_off, deadline, move |outcome| {
                owner.end_counted_check(&checked);
                match outcome {
                    Ok(_) => owner.record_survival(incident.id),
                    Err(CallError::NotSent) => owner.check_survival_later(incident),
                    Err(error) => log::info!(
                        "owner: crash incident {} stays, a check failed: {error}.",
                        incident.id.number
                    ),
                }
            });
        }
    }

    /// Checks again if there was no idle connection that is old enough.
    fn check_survival_later(&self, mut incident: OpenIncident) {
        incident.checks_left -= 1;
        if incident.checks_left == 0 {
            log::info!(
                "owner: crash incident {} stays, no connection from before it is left.",
                incident.id.number
            );
            return;
        }
        incident.check_at = Instant::now() + SURVIVAL_CHECK_PAUSE;
        lock(&self.suspicions.open).push_back(incident);
    }

    fn record_survival(&self, id: IncidentId) {
        let suspects = &self.context.kernel.suspects;
        let requests = suspects.with(|suspects| suspects.record_survival(id));
        if requests > 0 {
            self.context.count_suspects("cleared");
            log::info!(
                "owner: crash incident {} is cleared for {requests} requests, the instance has \
                 lived on.",
                id.number
            );
            self.publish_suspects();
        }
    }

    /// Records that a request was answered, which clears it as a crash suspect.
    pub(super) fn record_answered(&self, fingerprint: &Fingerprint) {
        let suspects = &self.context.kernel.suspects;
        let cleared = suspects.with(|suspects| suspects.record_success(fingerprint));
        if cleared > 0 {
            self.context.count_suspects("cleared");
            log::info!(
                "owner: request {fingerprint} is cleared of {cleared} crashes, it was answered."
            );
            self.publish_suspects();
        }
    }

    fn publish_suspects(&self) {
        let events = &self.context.kernel.events;
        events.publish(&Event::CrashSuspectsChanged);
    }

    /// Reason to refuse a call as a crash suspect when it arrives. A call whose trial is due starts
    /// its trial if that is up to this owner.
    pub(super) fn suspect_refusal(
        &self,
        now_us: u64,
        deadline_us: u64,
        call: &RunCall,
    ) -> Option<ErrorKind> {
        let verdict = self.context.verdict(now_us, &call.fingerprint);
        match verdict {
            Verdict::Clear | Verdict::Suspected => None,
            Verdict::Hold => Some(ErrorKind::CrashHold),
            Verdict::Refuse => Some(ErrorKind::CrashSuspect),
            Verdict::Trial => {
                (!self.begin_trial(now_us, deadline_us, call)).then_some(ErrorKind::CrashHold)
            }
        }
    }

    /// Reason to refuse a call that was admitted before its request became a suspect.
    pub(super) fn suspect_refusal_at_start(
        &self,
        now_us: u64,
        call: &RunCall,
    ) -> Option<ErrorKind> {
        match self.context.verdict(now_us, &call.fingerprint) {
            Verdict::Clear | Verdict::Suspected => None,
            Verdict::Trial if self.is_trial(call.attempt) => None,
            Verdict::Refuse => Some(ErrorKind::CrashSuspect),
            Verdict::Trial | Verdict::Hold => Some(ErrorKind::CrashHold),
        }
    }

    /// Whether a trial runs at the local instance.
    pub(super) fn has_trial(&self, now_us: u64) -> bool {
        is_running(lock(&self.suspicions.trial).as_ref(), now_us)
    }

    /// Takes the call for a trial if this is the upstream that all nodes choose for it and no other
    /// trial runs here.
    fn begin_trial(&self, now_us: u64, deadline_us: u64, call: &RunCall) -> bool {
        let service = self
            .lock_instance()
            .as_ref()
            .map(|instance| instance.upstream.service.clone());
        let Some(service) = service else {
            return false;
        };
        if self
            .context
            .trial_upstream(now_us, &service, &call.fingerprint)
            .as_ref()
            != Some(&call.upstream)
        {
            return false;
        }
        let mut trial = lock(&self.suspicions.trial);
        if is_running(trial.as_ref(), now_us) {
            return false;
        }
        *trial = Some(Trial {
            attempt: call.attempt,
            ends_us: deadline_us,
        });
        let evidence = self.context.evidence(now_us, &call.fingerprint);
        self.context.count_suspects("tried");
        log::info!(
            "owner: call {} is a trial; request {}: {evidence}.",
            call.attempt,
            call.fingerprint
        );
        true
    }

    pub(super) fn is_trial(&self, attempt: AttemptId) -> bool {
        let trial = lock(&self.suspicions.trial);
        trial.as_ref().is_some_and(|trial| trial.attempt == attempt)
    }

    /// Ends the trial of an attempt, if it is one.
    pub(super) fn end_trial(&self, attempt: AttemptId) {
        let mut trial = lock(&self.suspicions.trial);
        trial.take_if(|trial| trial.attempt == attempt);
    }
}
