//! Gives up calls that the local instance leaves unanswered while it works as usual, so that the
//! entry can send them to another upstream. Only idempotent calls are given up, and only if the
//! settings ask for it.

use super::{MAX_TIMER_SLEEP, instance::Job, state::Owner};
use limits::{RetryBudget, SilenceVerdict, UnansweredCall, UpstreamSigns};
use model::{AttemptId, ProfileName};
use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Interval at which running calls are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Calls that may be given up per second, whatever the number of answers.
const MIN_GIVEN_UP_PER_S: u32 = 1;

/// A running call and what decides whether the entry can send it again.
struct Tracked {
    call: UnansweredCall,
    profile: ProfileName,
}

struct State {
    calls: HashMap<AttemptId, Tracked>,
    /// Calls that were given up and have not ended yet.
    given_up: HashSet<AttemptId>,
    signs: UpstreamSigns,
    budget: RetryBudget,
}

/// Running calls that may be given up, and the signs of the instance's condition.
pub(super) struct UnansweredCalls {
    is_enabled: bool,
    state: Mutex<State>,
}

impl UnansweredCalls {
    /// At most `percent` of the answered calls are given up; none if it is 0.
    pub(super) fn new(percent: u8) -> Self {
        UnansweredCalls {
            is_enabled: percent > 0,
            state: Mutex::new(State {
                calls: HashMap::new(),
                given_up: HashSet::new(),
                signs: UpstreamSigns::default(),
                budget: RetryBudget::new(percent, MIN_GIVEN_UP_PER_S),
            }),
        }
    }

    pub(super) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Records a load report of the instance.
    pub(super) fn record_report(&self, now_us: u64, waiting: u32) {
        if self.is_enabled {
            let signs = &mut self.lock().signs;
            signs.reported_us = Some(now_us);
            signs.waiting = waiting;
        }
    }

    /// Records that the instance has answered a call.
    pub(super) fn record_answer(&self, now_us: u64) {
        if self.is_enabled {
            let mut state = self.lock();
            state.signs.answers += 1;
            state.budget.on_success(now_us);
        }
    }

    /// Ends a call; returns whether it was given up.
    pub(super) fn end(&self, attempt: AttemptId) -> bool {
        if !self.is_enabled {
            return false;
        }
        let mut state = self.lock();
        state.calls.remove(&attempt);
        state.given_up.remove(&attempt)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Owner {
    /// Longest sleep of the timer thread.
    pub(super) fn max_timer_sleep(&self) -> Duration {
        if self.unanswered.is_enabled() {
            CHECK_INTERVAL
        } else {
            MAX_TIMER_SLEEP
        }
    }

    /// Watches a call that is about to be sent to the instance.
    pub(super) fn watch_answer(&self, job: &Job, now_us: u64) {
        let call = &job.call;
        if !self.unanswered.is_enabled() || !call.idempotent || call.keyed {
            return;
        }
        let silence_us = self.lock_instance().as_ref().and_then(|instance| {
            let expected_us = instance.service_times.expected_us(&call.profile);
            instance.answer_times.silence_us(&call.profile, expected_us)
        });
        let Some(silence_us) = silence_us else {
            return;
        };
        let mut state = self.unanswered.lock();
        let answers_before = state.signs.answers;
        let tracked = Tracked {
            call: UnansweredCall {
                started_us: now_us,
                deadline_us: job.deadline_us,
                silence_us,
                answers_before,
            },
            profile: call.profile.clone(),
        };
        state.calls.insert(call.attempt, tracked);
    }

    /// Cancels the calls whose answers won't come.
    pub(super) fn give_up_unanswered(self: &Arc<Self>) {
        if !self.unanswered.is_enabled() {
            return;
        }
        let is_slow = self
            .lock_instance()
            .as_ref()
            .is_none_or(|instance| instance.pace.is_slow());
        let now_us = self.now_us();
        let (given_up, needs_report) = self.unanswered_calls(now_us, is_slow);
        if needs_report && let Some(instance) = self.lock_instance().as_mut() {
            self.refresh_pace(now_us, instance);
        }
        for attempt in given_up {
            self.context.kernel.metrics.given_up.inc();
            // Outside the locks: the cancellation may end the call in this thread.
            self.shared.running.cancel(attempt);
        }
    }

    /// Takes the calls that are to be given up now, within the budget. Also tells whether a load
    /// report of the instance is needed to decide.
    fn unanswered_calls(&self, now_us: u64, is_slow: bool) -> (Vec<AttemptId>, bool) {
        let mut guard = self.unanswered.lock();
        let state = &mut *guard;
        let signs = UpstreamSigns {
            is_slow,
            ..state.signs
        };
        let mut given_up = Vec::new();
        let mut needs_report = false;
        for (attempt, tracked) in &state.calls {
            let verdict = tracked.call.assess(now_us, &signs);
            needs_report |= verdict == SilenceVerdict::ReportNeeded;
            let SilenceVerdict::GiveUp(limit) = verdict else {
                continue;
            };
            if !self.has_other_attempts(&tracked.profile) || !state.budget.try_retry(now_us) {
                continue;
            }
            log::info!(
                "owner: call {attempt} is given up, silent for {} us, limit {} us; {}.",
                limit.silent_us,
                limit.limit_us,
                limit.report_age_us.map_or_else(
                    || "other calls were answered".to_owned(),
                    |age_us| format!("no call waits at the instance, reported {age_us} us ago")
                )
            );
            given_up.push(*attempt);
        }
        for attempt in &given_up {
            state.calls.remove(attempt);
            state.given_up.insert(*attempt);
        }
        (given_up, needs_report)
    }

    /// Whether the entry may send a call of the profile more than once.
    fn has_other_attempts(&self, name: &ProfileName) -> bool {
        let profiles = &self.context.kernel.profiles;
        let attempts = match profiles.routes() {
            Some(table) => table
                .configuration()
                .hosts
                .iter()
                .flat_map(|host| &host.routes)
                .find(|route| *route.name == *name.as_str())
                .map(|route| route.attempts.to_u64()),
            None => profiles
                .resolve(name)
                .map(|profile| u64::from(profile.attempts)),
        };
        attempts.is_some_and(|attempts| attempts > 1)
    }
}
