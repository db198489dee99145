//! The local instance, which runs beside this node: its announcement, lease and state.

use crate::{announce::Announcement, health_request::is_serving, instance_starts::InstanceStarts};
use kernel::{Clock, Event, InstanceStart, Kernel};
use members::{Moment, ReportOrder, ReportPosition, ReportVerdict};
use model::{ServiceName, Upstream, UpstreamName, UpstreamState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The announced instance, its lease and the order of its reports.
struct State {
    upstream: Option<Upstream>,
    lease_until_us: u64,
    drained_by_operator: bool,
    version: u64,
    /// Slots that the instance announced; the settings may limit how many of them are used.
    announced_slots: u32,
    /// Service of the last announced instance, kept after that instance was removed.
    service: Option<ServiceName>,
    /// Detects late reports.
    report_order: ReportOrder,
    /// Detects new processes of the instance, which are cold.
    starts: InstanceStarts,
}

/// Holds the announced local instance and publishes its changes to the other plug-ins.
pub(crate) struct LocalInstance {
    kernel: Arc<Kernel>,
    state: Mutex<State>,
    /// Held while a report or a withdrawal is applied, also during the health check of a report: one
    /// that was checked before a withdrawal must not be announced after it.
    report_lock: Mutex<()>,
}

impl LocalInstance {
    pub(crate) fn new(kernel: &Arc<Kernel>) -> Self {
        LocalInstance {
            kernel: Arc::clone(kernel),
            state: Mutex::new(State {
                upstream: None,
                lease_until_us: 0,
                drained_by_operator: false,
                version: 0,
                announced_slots: 0,
                service: None,
                // An instance that is silent for a whole lease counts as gone, so no report is
                // expected to be on its way for longer.
                report_order: ReportOrder::new(moment(kernel), lease_us(kernel)),
                starts: InstanceStarts::new(kernel.clock.now_us(), lease_us(kernel)),
            }),
            report_lock: Mutex::default(),
        }
    }

    /// Renews the lease and publishes the upstream record if it has changed.
    pub(crate) fn announce(&self, announcement: &Announcement) -> Upstream {
        let lease_us = lease_us(&self.kernel);
        // Before the first call can be sent to a new instance.
        self.publish_cold(announcement);
        let (upstream, changed) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.service = Some(announcement.service.clone());
            state.announced_slots = announcement.slots;
            state.lease_until_us = self.kernel.clock.now_us() + lease_us;
            let next = self.upstream_record(&state, announcement);
            let changed = state
                .upstream
                .as_ref()
                .is_none_or(|known| !is_same_except_version(known, &next));
            if changed {
                state.version += 1;
                state.upstream = Some(Upstream {
                    version: state.version,
                    ..next
                });
            }
            (state.upstream.clone(), changed)
        };
        if changed {
            self.publish(upstream.clone());
        }
        upstream.expect("the upstream was stored above")
    }

    /// Publishes how long the instance stays cold, by its own report or, after a start, by the
    /// configuration; the later end applies.
    fn publish_cold(&self, announcement: &Announcement) {
        let now_us = self.kernel.clock.now_us();
        let unix_ms = Clock::unix_us() / 1_000;
        let start = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.starts.record(now_us, unix_ms, announcement)
        };
        let has_started = start == InstanceStart::Observed;
        let configured_ms = has_started.then(|| self.configured_cold_ms(&announcement.service));
        let remaining_ms = announcement.cold_ms.max(configured_ms).unwrap_or(0);
        if remaining_ms > 0 {
            self.kernel.events.publish(&Event::LocalInstanceCold {
                remaining_ms,
                start,
            });
        }
    }

    /// Time for which the local instance is cold after a start.
    pub(crate) fn cold_ms_after_start(&self) -> u64 {
        let service = self.service();
        service.map_or(0, |service| self.configured_cold_ms(&service))
    }

    /// Time for which the service's instances are cold after their start.
    fn configured_cold_ms(&self, service: &ServiceName) -> u64 {
        let routes = self.kernel.profiles.routes();
        let limit = routes.and_then(|routes| routes.cold_limit(service));
        let duration_s = limit.and_then(|limit| limit.duration_s);
        duration_s.map_or(0, |duration_s| (duration_s.to_f64() * 1_000.0) as u64)
    }

    /// Calls `announce` unless the report is older than one that was applied before: a late report
    /// must not restore an instance that has withdrawn or that another one has replaced.
    pub(crate) fn report(&self, announcement: &Announcement) -> bool {
        let _applying = self.lock_reports();
        let Some(name) = &announcement.name else {
            self.announce(announcement);
            return true;
        };
        let position = ReportPosition {
            started_ms: announcement.started_ms.unwrap_or(0),
            sequence: announcement.sequence.unwrap_or(0),
        };
        let now_us = self.kernel.clock.now_us();
        let verdict = self.report_order(|order| order.assess(now_us, name, position));
        let is_current = match verdict {
            ReportVerdict::Current => true,
            ReportVerdict::Unconfirmed => self.confirm_report(announcement, name, position),
            ReportVerdict::Outdated => false,
        };
        if !is_current {
            log::info!(
                "platform: a report of instance {name} was ignored, {verdict:?}; start {} ms, \
                 sequence {}.",
                position.started_ms,
                position.sequence
            );
            return false;
        }
        self.announce(announcement);
        self.record_start(name, position.started_ms);
        true
    }

    /// Publishes whether the instance has restarted under its name.
    fn record_start(&self, name: &UpstreamName, started_ms: u64) {
        let has_restarted = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.starts.record_report(name, started_ms)
        };
        if has_restarted {
            self.kernel.events.publish(&Event::LocalUpstreamRestarted);
        }
    }

    /// Takes a report whose sender may have ended for current if the instance passes a health check.
    fn confirm_report(
        &self,
        announcement: &Announcement,
        name: &UpstreamName,
        position: ReportPosition,
    ) -> bool {
        let is_serving = is_serving(
            &self.kernel,
            &announcement.service,
            name,
            announcement.address,
        );
        if is_serving {
            self.report_order(|order| order.confirm(name, position));
        }
        is_serving
    }

    fn lock_reports(&self) -> MutexGuard<'_, ()> {
        self.report_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn report_order<T>(&self, run: impl FnOnce(&mut ReportOrder) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        run(&mut state.report_order)
    }

    /// Withdraws the named instance at its own request; returns whether it was the announced one.
    pub(crate) fn withdraw_named(&self, name: &UpstreamName) -> bool {
        let _applying = self.lock_reports();
        let is_announced = {
            let mut guard = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            guard.report_order.withdraw(moment(&self.kernel), name);
            guard.upstream.as_ref().is_some_and(|u| u.name == *name)
        };
        is_announced && self.withdraw()
    }

    pub(crate) fn announced_slots(&self) -> u32 {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.announced_slots
    }

    /// Service of the local instance or of the last one, else the service in the settings.
    pub(crate) fn service(&self) -> Option<ServiceName> {
        let settings = self.kernel.node_settings();
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .service
            .clone()
            .or_else(|| settings.service.clone())
    }

    /// Withdraws the announced instance at its own request; returns whether there was one.
    pub(crate) fn withdraw(&self) -> bool {
        let removed = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.drained_by_operator = false;
            state.starts.withdraw();
            state.upstream.take()
        };
        let was_announced = removed.is_some();
        if was_announced {
            self.publish(None);
        }
        was_announced
    }

    /// Removes an instance whose lease has run out.
    pub(crate) fn expire_lease(&self) {
        let expired = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            if state.upstream.is_none() || self.kernel.clock.now_us() < state.lease_until_us {
                return;
            }
            state.drained_by_operator = false;
            state.upstream.take()
        };
        if let Some(upstream) = expired {
            log::warn!(
                "platform: instance {} of {} stopped reporting; its lease has run out.",
                upstream.name,
                upstream.service
            );
            self.publish(None);
        }
    }

    /// Drains the instance until it withdraws; returns whether `name` is the local instance.
    pub(crate) fn drain(&self, name: &UpstreamName, reason: &str) -> bool {
        let changed = {
            let mut guard = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let state = &mut *guard;
            let Some(upstream) = state.upstream.as_mut().filter(|u| u.name == *name) else {
                return false;
            };
            state.drained_by_operator = true;
            if upstream.state.accepts_calls() {
                state.version += 1;
                upstream.version = state.version;
                upstream.state = UpstreamState::Draining;
                Some(upstream.clone())
            } else {
                None
            }
        };
        if changed.is_some() {
            log::info!("platform: instance {name} is draining; {reason}.");
            self.publish(changed);
        }
        true
    }

    /// The announced instance, if there is one.
    pub(crate) fn upstream(&self) -> Option<Upstream> {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .upstream
            .clone()
    }

    /// The upstream record for an announcement, with the version of the current record.
    fn upstream_record(&self, state: &State, announcement: &Announcement) -> Upstream {
        let settings = self.kernel.node_settings();
        let name = announcement.name.clone().unwrap_or_else(|| {
            UpstreamName::parse(settings.host.as_str())
                .expect("a host name is a valid upstream name")
        });
        let same_name = state.upstream.as_ref().filter(|known| known.name == name);
        let must_drain = state.drained_by_operator && announcement.state.accepts_calls();
        Upstream {
            service: announcement.service.clone(),
            availability_zone: settings.availability_zone.clone(),
            host: settings.host.clone(),
            node: self.kernel.mesh.local_id(),
            address: announcement.address,
            slots: usable_slots(announcement.slots, settings.usable_slots_percent),
            connections: announcement.connections,
            state: if must_drain {
                UpstreamState::Draining
            } else {
                announcement.state
            },
            announced_ms: same_name
                .map_or_else(|| Clock::unix_us() / 1000, |known| known.announced_ms),
            default_profile: announcement.default_profile.clone(),
            rules: announcement.rules.clone().into(),
            version: state.version,
            name,
        }
    }

    fn publish(&self, upstream: Option<Upstream>) {
        match &upstream {
            Some(upstream) => log::info!(
                "platform: instance {} of {} at {} is announced, {} slots, state {}.",
                upstream.name,
                upstream.service,
                upstream.address,
                upstream.slots,
                upstream.state
            ),
            None => log::info!("platform: the local instance was withdrawn."),
        }
        self.kernel
            .events
            .publish(&Event::LocalUpstreamChanged(upstream));
    }
}

fn moment(kernel: &Kernel) -> Moment {
    Moment {
        now_us: kernel.clock.now_us(),
        unix_ms: Clock::unix_us() / 1_000,
    }
}

fn lease_us(kernel: &Kernel) -> u64 {
    kernel.node_settings().lease_ms * 1_000
}

fn usable_slots(slots: u32, percent: u8) -> u32 {
    (slots * u32::from(percent) / 100).max(1)
}

/// Whether two records are equal apart from their version.
fn is_same_except_version(known: &Upstream, next: &Upstream) -> bool {
    *known
        == Upstream {
            version: known.version,
            ..next.clone()
        }
}
