//! Work that may still run at an upstream although the owner waits for no answer to it.
//!
//! Workload: an upstream that is full never answers a request that it can't queue. An owner that
//! gives a slot away when a connection is cut or a call is cancelled sends to an upstream whose
//! slots are still in use. The same happens after a restart of the owner, which has forgotten the
//! calls that run.

/// Time added to the deadline of a cut call, in microseconds. The upstream's deadline is rounded up
/// to a whole millisecond and counted from the arrival of the request.
const DEADLINE_GRACE_US: u64 = 10_000;
/// Most calls that are counted. The owner never runs as many at once; if it did, the calls that end
/// first would be dropped.
const MAX_CALLS: usize = 4_096;

/// Calls at one upstream whose answers will never reach the owner.
#[derive(Clone, Debug, Default)]
pub struct LostWork {
    /// Times at which the upstream has discarded the calls, in order.
    ends_us: Vec<u64>,
    /// Calls of earlier owners.
    inherited: u32,
    /// Time at which the last of them has ended.
    inherited_until_us: u64,
    /// Health checks that wait for their answers.
    health_checks: u32,
}

impl LostWork {
    /// Counts a call whose connection was cut, until its deadline.
    pub fn add(&mut self, deadline_us: u64) {
        let end_us = deadline_us.saturating_add(DEADLINE_GRACE_US);
        let index = self.ends_us.partition_point(|other_us| *other_us <= end_us);
        self.ends_us.insert(index, end_us);
        if self.ends_us.len() > MAX_CALLS {
            self.ends_us.remove(0);
        }
    }

    /// Counts calls that an earlier owner may have left at the upstream.
    pub fn inherit(&mut self, calls: u32, until_us: u64) {
        self.inherited = calls;
        self.inherited_until_us = until_us;
    }

    /// Lowers the number of inherited calls to those that the upstream reported beyond the calls of
    /// this owner. A report never raises it: the calls of this owner are counted exactly.
    pub fn limit_inherited(&mut self, calls: u32) {
        self.inherited = self.inherited.min(calls);
    }

    /// Counts a health check that is sent.
    pub fn begin_health_check(&mut self) {
        self.health_checks += 1;
    }

    /// Ends a health check, answered or not: its processing time is negligible.
    pub fn end_health_check(&mut self) {
        self.health_checks = self.health_checks.saturating_sub(1);
    }

    /// Drops the calls that the upstream has discarded by now.
    pub fn expire(&mut self, now_us: u64) {
        let ended = self.ends_us.partition_point(|end_us| *end_us <= now_us);
        self.ends_us.drain(..ended);
        if now_us >= self.inherited_until_us {
            self.inherited = 0;
        }
    }

    /// Drops all calls, after the upstream has restarted.
    pub fn clear(&mut self) {
        self.ends_us.clear();
        self.inherited = 0;
    }

    /// Calls and health checks that count as running, as of the last `expire`.
    pub fn count(&self) -> u32 {
        let cut = u32::try_from(self.ends_us.len()).unwrap_or(u32::MAX);
        cut.saturating_add(self.inherited)
            .saturating_add(self.health_checks)
    }

    /// Calls of earlier owners that are counted.
    pub fn inherited(&self) -> u32 {
        self.inherited
    }

    /// Ends of the calls that were cut and of the inherited ones.
    pub fn ends_us(&self) -> impl Iterator<Item = u64> {
        let inherited = (0..self.inherited).map(|_| self.inherited_until_us);
        self.ends_us.iter().copied().chain(inherited)
    }

    /// Time at which `expire` drops a call.
    pub fn next_end_us(&self) -> Option<u64> {
        self.ends_us().min()
    }
}
