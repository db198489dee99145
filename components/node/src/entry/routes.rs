//! Router, tracked upstreams and budgets of each service that this entry calls.

use crate::context::NodeContext;
use calls::HedgeBudget;
use limits::{RetryBudget, SharedRetryBudget, SharedRetryLimits, TokenBucket};
use model::{
    Profile, ProfileName, ServiceName, Upstream, UpstreamName, UpstreamState, ZonePreference,
};
use routing::{Router, RouterConfig, UpstreamKey, zone_first_subset};
use std::{
    collections::{HashMap, HashSet, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Number of shards, each under its own lock.
const SHARDS: usize = 16;
/// Maximum of upstreams per service for which an entry keeps load figures and connections.
const SUBSET_SIZE: usize = 24;
/// Retries per second that a service is always allowed, even without successful calls.
const MIN_RETRIES_PER_S: u32 = 5;

/// Retry, hedge and probe budgets of one profile of one service.
pub(crate) struct Budgets {
    pub(crate) retry: RetryBudget,
    pub(crate) hedge: HedgeBudget,
    pub(crate) probes: TokenBucket,
    /// Retry percentage, hedge percentage and probes per second that the budgets were created for.
    limits: (u8, u8, u32),
}

/// Routing state of one service at this entry.
pub(crate) struct ServiceRoutes {
    router: Mutex<Router>,
    /// Names of the upstreams that the router tracks.
    tracked: Mutex<HashSet<UpstreamName>>,
    budgets: Mutex<HashMap<ProfileName, Budgets>>,
    /// Retry budget of the whole service, which replaces those of the profiles if the settings
    /// have one.
    shared_retries: Option<Mutex<SharedRetryBudget>>,
}

impl ServiceRoutes {
    fn new(config: RouterConfig, shared_retries: Option<SharedRetryLimits>) -> Self {
        ServiceRoutes {
            router: Mutex::new(Router::new(config, rand::random())),
            tracked: Mutex::default(),
            budgets: Mutex::default(),
            shared_retries: shared_retries.map(|limits| Mutex::new(SharedRetryBudget::new(limits))),
        }
    }

    pub(crate) fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `action` on the budgets of a profile, which are recreated if the profile's limits
    /// changed.
    pub(crate) fn with_budgets<T>(
        &self,
        profile: &Profile,
        action: impl FnOnce(&mut Budgets) -> T,
    ) -> T {
        let limits = (
            profile.retry_budget_percent,
            profile.hedge.max_percent,
            profile.probe_budget_per_s,
        );
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = || Budgets {
            retry: RetryBudget::new(limits.0, MIN_RETRIES_PER_S),
            hedge: HedgeBudget::new(limits.1),
            probes: TokenBucket::new(limits.2, limits.2),
            limits,
        };
        let entry = budgets.entry(profile.name.clone()).or_insert_with(fresh);
        if entry.limits != limits {
            *entry = fresh();
        }
        action(entry)
    }

    /// Whether a retry of the profile's budget can be reserved now.
    pub(crate) fn can_reserve_retry(&self, profile: &Profile) -> bool {
        let budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.get(&profile.name);
        budget.is_some_and(|budgets| budgets.retry.can_reserve())
    }

    /// Counts a call in the retry budget of the whole service, if there is one.
    pub(crate) fn count_call(&self, now_us: u64) {
        if let Some(shared) = &self.shared_retries {
            let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
            shared.on_call(now_us);
        }
    }

    /// Takes a retry from the budget of the whole service; `None` if there is no such budget.
    pub(crate) fn try_shared_retry(&self, now_us: u64, entries: u32) -> Option<bool> {
        let shared = self.shared_retries.as_ref()?;
        let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
        Some(shared.try_retry(now_us, entries))
    }

    /// Stops choosing an upstream whose owner refuses new calls, before gossip reports its state.
    pub(crate) fn mark_draining(&self, now_us: u64, key: UpstreamKey) {
        let mut router = self.router();
        if let Some(mut upstream) = router.upstream(key).cloned() {
            upstream.state = UpstreamState::Draining;
            router.upsert(now_us, &upstream);
        }
    }

    fn tracked(&self) -> MutexGuard<'_, HashSet<UpstreamName>> {
        self.tracked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the router track exactly the given upstreams.
    fn track(&self, tracked: &mut HashSet<UpstreamName>, now_us: u64, chosen: &[Upstream]) {
        let next: HashSet<UpstreamName> = chosen.iter().map(|u| u.name.clone()).collect();
        let mut router = self.router();
        for removed in tracked.difference(&next) {
            router.remove(removed);
        }
        for upstream in chosen {
            router.upsert(now_us, upstream);
        }
        *tracked = next;
    }
}

type Services = HashMap<ServiceName, Arc<ServiceRoutes>>;

/// Routing state of all services that were called through this entry.
pub(crate) struct Routes {
    context: Arc<NodeContext>,
    shards: [Mutex<Services>; SHARDS],
}

impl Routes {
    pub(crate) fn new(context: &Arc<NodeContext>) -> Self {
        Routes {
            context: Arc::clone(context),
            shards: std::array::from_fn(|_| Mutex::default()),
        }
    }

    /// The routing state of a service, created on the first call.
    pub(crate) fn get_or_create(&self, service: &ServiceName) -> Arc<ServiceRoutes> {
        if let Some(known) = self.find(service) {
            return known;
        }
        let config = self.router_config();
        // Filled before it is published, or a concurrent first call would find no upstream.
        let fresh = Arc::new(ServiceRoutes::new(
            config,
            self.context.kernel.node_settings().shared_retries,
        ));
        self.update_tracked(service, &fresh);
        let stored = Arc::clone(self.lock(service).entry(service.clone()).or_insert(fresh));
        // Filled again: a change of upstreams since the first time did not reach this value.
        self.update_tracked(service, &stored);
        stored
    }

    /// A copy of the router of a service, as the next call finds it. A service that was not called
    /// here yet has none; its router is made for the copy only.
    pub(crate) fn router_copy(&self, service: &ServiceName) -> Router {
        if let Some(known) = self.find(service) {
            return known.router().clone();
        }
        let config = self.router_config();
        let mut router = Router::new(config, 0);
        for upstream in self.subset(service) {
            router.upsert(self.context.kernel.clock.now_us(), &upstream);
        }
        router
    }

    /// Whether a retry of the profile's budget can be reserved now.
    pub(crate) fn can_reserve_retry(&self, service: &ServiceName, profile: &Profile) -> bool {
        let routes = self.find(service);
        routes.is_some_and(|routes| routes.can_reserve_retry(profile))
    }

    fn router_config(&self) -> RouterConfig {
        RouterConfig {
            probe_budget_per_s: self.context.kernel.node_settings().probe_budget_per_s,
        }
    }

    /// Applies a change of the service's upstreams; does nothing for a service not called here.
    pub(crate) fn refresh(&self, service: &ServiceName) {
        if let Some(routes) = self.find(service) {
            self.update_tracked(service, &routes);
        }
    }

    /// Applies a change that may concern the upstreams of all services.
    pub(crate) fn refresh_all(&self) {
        let known: Vec<(ServiceName, Arc<ServiceRoutes>)> = self
            .shards
            .iter()
            .flat_map(|shard| {
                let services = shard.lock().unwrap_or_else(PoisonError::into_inner);
                services.clone()
            })
            .collect();
        for (service, routes) in &known {
            self.update_tracked(service, routes);
        }
    }

    /// Tracks a stable subset of the upstreams that accept calls, outside evacuated zones.
    fn update_tracked(&self, service: &ServiceName, routes: &ServiceRoutes) {
        // Held while reading and tracking, so that an older list can't replace a newer one.
        let mut tracked = routes.tracked();
        let chosen = self.subset(service);
        routes.track(&mut tracked, self.context.kernel.clock.now_us(), &chosen);
    }

    /// The upstreams of a service that this entry uses now.
    fn subset(&self, service: &ServiceName) -> Vec<Upstream> {
        let upstreams = self.context.kernel.directory.upstreams(service);
        let settings = self.context.kernel.node_settings();
        let evacuated = self.context.kernel.profiles.evacuated_zones();
        let prefers_zone = settings.route_zone_preference != ZonePreference::None;
        let (near, far): (Vec<&Upstream>, Vec<&Upstream>) = upstreams
            .iter()
            .filter(|upstream| upstream.state.accepts_calls())
            .filter(|upstream| !evacuated.contains(&upstream.availability_zone))
            .partition(|upstream| {
                prefers_zone && upstream.availability_zone == settings.availability_zone
            });
        let names = |upstreams: Vec<&Upstream>| -> Vec<UpstreamName> {
            upstreams.iter().map(|u| u.name.clone()).collect()
        };
        let (near, far) = (names(near), names(far));
        let entry = self.context.kernel.mesh.local_id();
        let names: HashSet<&UpstreamName> =
            zone_first_subset(service, &entry, &near, &far, SUBSET_SIZE)
                .into_iter()
                .collect();
        let is_chosen = |upstream: &&Upstream| names.contains(&upstream.name);
        upstreams.iter().filter(is_chosen).cloned().collect()
    }

    fn find(&self, service: &ServiceName) -> Option<Arc<ServiceRoutes>> {
        self.lock(service).get(service).cloned()
    }

    fn lock(&self, service: &ServiceName) -> MutexGuard<'_, Services> {
        let mut hasher = DefaultHasher::new();
        service.hash(&mut hasher);
        self.shards[hasher.finish() as usize % SHARDS]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
