//! Limits on what callers can make a process hold.

use crate::source::{SettingError, SettingSource};
use std::fs;

/// Divisor of the host's memory that gives the default budget.
const HOST_MEMORY_DIVISOR: u64 = 3;
/// Highest default budget in bytes.
const MAX_DEFAULT_BUDGET_BYTES: u64 = 512 << 20;
/// Lowest budget in bytes; less would refuse ordinary requests.
const MIN_BUDGET_BYTES: u64 = 1 << 20;
/// Highest budget in bytes.
const MAX_BUDGET_BYTES: u64 = 1 << 40;
/// Default limit of the connections of one address.
const DEFAULT_CONNECTIONS_PER_ADDRESS: u64 = 1_000;

/// Limits on what callers can make a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Memory for requests and unread responses of all HTTP ports, in bytes.
    pub memory_budget_bytes: usize,
    /// Most connections of one address to the port for callers.
    pub max_connections_per_address: usize,
}

impl CallerLimits {
    /// Reads the limits from these flags or their variables.
    pub(crate) fn read<E: Fn(&str) -> Option<String>>(
        memory_budget_bytes: Option<&str>,
        max_connections_per_address: Option<&str>,
        source: &SettingSource<E>,
    ) -> Result<Self, SettingError> {
        Ok(CallerLimits {
            memory_budget_bytes: source.number(
                "memory-budget-bytes",
                memory_budget_bytes,
                default_budget_bytes(),
                MIN_BUDGET_BYTES,
                MAX_BUDGET_BYTES,
            )? as usize,
            max_connections_per_address: source.number(
                "max-connections-per-address",
                max_connections_per_address,
                DEFAULT_CONNECTIONS_PER_ADDRESS,
                1,
                100_000,
            )? as usize,
        })
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            memory_budget_bytes: default_budget_bytes() as usize,
            max_connections_per_address: DEFAULT_CONNECTIONS_PER_ADDRESS as usize,
        }
    }
}

/// A third of the host's memory, at most `MAX_DEFAULT_BUDGET_BYTES`.
fn default_budget_bytes() -> u64 {
    let meminfo = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    host_memory_bytes(&meminfo).map_or(MAX_DEFAULT_BUDGET_BYTES, |bytes| {
        (bytes / HOST_MEMORY_DIVISOR).clamp(MIN_BUDGET_BYTES, MAX_DEFAULT_BUDGET_BYTES)
    })
}

/// Total memory in the format of `/proc/meminfo`.
fn host_memory_bytes(meminfo: &str) -> Option<u64> {
    let line = meminfo
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1_024)
}
