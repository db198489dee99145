//! Profiles, which set how a kind of call is treated, and their validation.

use crate::ProfileName;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;

const MAX_DEADLINE_MS: u32 = 3_600_000;
/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u16 = 10;
/// Maximum length of a queue in calls.
const MAX_QUEUE_LIMIT: u32 = 10_000;
/// Highest probe budget of one node in messages per second.
const MAX_PROBE_BUDGET_PER_S: u32 = 10_000;
/// Highest share of calls that may be hedged, in percent.
const MAX_HEDGE_PERCENT: u8 = 20;

/// Priority of a call in an owner's queue.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Starts last, and is the first to be removed from a full queue.
    Low,
    /// Starts after `High`.
    #[default]
    Normal,
    /// Starts first, and is never removed from a full queue for another call.
    High,
}

/// How many probes the calls of a profile cause. A probe asks an owner for its load signal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProbeMode {
    /// No probes; load signals come only with replies to calls.
    None,
    /// At most one probe message per ten calls.
    #[default]
    Economical,
    /// At most one probe message per call.
    Fast,
}

/// Whether upstreams in the entry's availability zone are preferred.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZonePreference {
    /// No zone is preferred.
    None,
    /// The entry's availability zone is preferred as long as that doesn't increase latency.
    #[default]
    Prefer,
    /// The entry's availability zone is preferred whenever it has a free slot, for deployments
    /// where traffic between zones is expensive.
    Local,
}

impl std::str::FromStr for ZonePreference {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "none" => Ok(ZonePreference::None),
            "prefer" => Ok(ZonePreference::Prefer),
            "local" => Ok(ZonePreference::Local),
            _ => Err(()),
        }
    }
}

/// Hedging: a second attempt is sent while a slow first one is still running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hedge {
    /// Whether calls are hedged.
    pub enabled: bool,
    /// Quantile of recent latency after which the second attempt is sent, in percent.
    pub quantile_percent: u8,
    /// Highest share of calls that are hedged, in percent.
    pub max_percent: u8,
}

impl Default for Hedge {
    fn default() -> Self {
        Hedge {
            enabled: false,
            quantile_percent: 95,
            max_percent: 5,
        }
    }
}

/// Settings for a kind of call: deadline, attempts, queueing, probes and retries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Name that the profile rules of upstreams refer to.
    pub name: ProfileName,
    /// Whether running a call twice has the effect of running it once.
    #[serde(default)]
    pub idempotent: bool,
    /// Time for the whole call in milliseconds, unless the caller gives less.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Maximum number of attempts of one call, including the first and hedges.
    #[serde(default = "default_attempts")]
    pub attempts: u16,
    /// Settings of hedging.
    #[serde(default)]
    pub hedge: Hedge,
    /// Priority in the owner's queue.
    #[serde(default)]
    pub priority: Priority,
    /// Maximum number of calls waiting at one owner.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// How many probes the calls cause.
    #[serde(default)]
    pub measure: ProbeMode,
    /// Maximum number of probe messages that one node sends for this profile per second.
    #[serde(default = "default_probe_budget_per_s")]
    pub probe_budget_per_s: u32,
    /// Preference for the entry's availability zone.
    #[serde(default)]
    pub zone_preference: ZonePreference,
    /// Retries allowed per successful call, in percent.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u8,
}

fn default_deadline_ms() -> u32 {
    1_000
}

fn default_attempts() -> u16 {
    3
}

fn default_queue_limit() -> u32 {
    64
}

fn default_probe_budget_per_s() -> u32 {
    100
}

fn default_retry_budget_percent() -> u8 {
    10
}

/// A field of a profile or configuration that is out of range or contradicts another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[snafu(display("{field}: {reason}"))]
pub struct FieldError {
    /// Name of the field; for a route in a configuration, its host and name.
    pub field: String,
    /// What is wrong, and what is allowed.
    pub reason: String,
}

/// A profile file that is not valid TOML or has unknown fields.
#[derive(Debug, Snafu)]
#[snafu(display("the profile file can't be read: {source}"))]
pub struct ProfileFileError {
    source: toml::de::Error,
}

impl Profile {
    /// A profile with the default of each field: not idempotent, one second, three attempts.
    pub fn with_defaults(name: ProfileName) -> Self {
        Profile {
            name,
            idempotent: false,
            deadline_ms: default_deadline_ms(),
            attempts: default_attempts(),
            hedge: Hedge::default(),
            priority: Priority::default(),
            queue_limit: default_queue_limit(),
            measure: ProbeMode::default(),
            probe_budget_per_s: default_probe_budget_per_s(),
            zone_preference: ZonePreference::default(),
            retry_budget_percent: default_retry_budget_percent(),
        }
    }

    /// Reads a profile from TOML; unknown fields are errors.
    pub fn from_toml(text: impl AsRef<str>) -> Result<Self, ProfileFileError> {
        toml::from_str(text.as_ref()).map_err(|source| ProfileFileError { source })
    }

    /// Reports every field that is out of range or contradicts another.
    pub fn check(&self) -> Result<(), Vec<FieldError>> {
        let mut errors = Vec::new();
        check_range(
            &mut errors,
            "deadline_ms",
            self.deadline_ms,
            1,
            MAX_DEADLINE_MS,
        );
        check_range(&mut errors, "attempts", self.attempts, 1, MAX_ATTEMPTS);
        check_range(
            &mut errors,
            "queue_limit",
            self.queue_limit,
            0,
            MAX_QUEUE_LIMIT,
        );
        check_range(
            &mut errors,
            "probe_budget_per_s",
            self.probe_budget_per_s,
            0,
            MAX_PROBE_BUDGET_PER_S,
        );
        check_range(
            &mut errors,
            "retry_budget_percent",
            self.retry_budget_percent,
            0,
            100,
        );
        self.check_hedge(&mut errors);
        self.check_measure(&mut errors);
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    fn check_hedge(&self, errors: &mut Vec<FieldError>) {
        check_range(
            errors,
            "hedge.quantile_percent",
            self.hedge.quantile_percent,
            50,
            99,
        );
        check_range(
            errors,
            "hedge.max_percent",
            self.hedge.max_percent,
            1,
            MAX_HEDGE_PERCENT,
        );
        if !self.hedge.enabled {
            return;
        }
        if !self.idempotent {
            push_error(
                errors,
                "hedge.enabled",
                "hedging runs a call twice; set idempotent = true first",
            );
        }
        if self.attempts < 2 {
            push_error(
                errors,
                "hedge.enabled",
                "a hedge is a second attempt; set attempts to 2 or more",
            );
        }
    }

    fn check_measure(&self, errors: &mut Vec<FieldError>) {
        if self.measure != ProbeMode::None && self.probe_budget_per_s == 0 {
            push_error(
                errors,
                "probe_budget_per_s",
                "probing without a budget; set measure = \"none\" or a budget of 1 or more",
            );
        }
    }
}

fn check_range<T: Copy + PartialOrd + fmt::Display>(
    errors: &mut Vec<FieldError>,
    field: &str,
    value: T,
    min: T,
    max: T,
) {
    if value < min || value > max {
        push_error(
            errors,
            field,
            format!("{value} is out of range; allowed are {min} to {max}"),
        );
    }
}

fn push_error(errors: &mut Vec<FieldError>, field: &str, reason: impl Into<String>) {
    errors.push(FieldError {
        field: field.to_owned(),
        reason: reason.into(),
    });
}
