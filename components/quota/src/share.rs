//! Arithmetic of shares, the same at nodes and at the coordinator. Conversions saturate, since stored
//! configurations may have amounts of any size.

/// Shares per call per second.
pub(crate) const UNITS_PER_CALL: f64 = 8.0;
/// Smallest share of a node with recent calls, in units.
const MIN_SHARE: u32 = 4;
/// Shares below this are withdrawn while tokens are scarce: idle tokens of many nodes with few calls
/// each would make others refuse calls that are within the limit. In units.
pub(crate) const SPARSE_SHARE: u32 = 16;
/// Share above the demand, so that small variations need no message, as a factor.
const HEADROOM: f64 = 1.25;
/// Tokens that a node may hold in addition to those for [`HOLD_S`].
const MIN_HELD: u32 = 2;
/// Time whose share a node may hold, in seconds.
const HOLD_S: f64 = 0.3;
/// Time whose share a node keeps when it gives tokens back, in seconds.
const KEEP_S: f64 = 0.2;
/// Fewest tokens that a node with a share keeps.
const MIN_KEPT: f64 = 1.0;

/// Calls per second of a share or a demand.
pub(crate) fn per_s(units: u32) -> f64 {
    f64::from(units) / UNITS_PER_CALL
}

/// A rate in units, rounded up.
pub(crate) fn units(per_s: f64) -> u32 {
    (per_s * UNITS_PER_CALL).ceil() as u32
}

/// Share that covers a demand.
pub(crate) fn share_for(demand: u32) -> u32 {
    match demand {
        0 => 0,
        _ => ((f64::from(demand) * HEADROOM).ceil() as u32).max(MIN_SHARE),
    }
}

/// Most tokens that a node with this share may hold.
pub(crate) fn max_held(share: u32) -> u32 {
    match share {
        0 => 0,
        _ => MIN_HELD.saturating_add((per_s(share) * HOLD_S) as u32),
    }
}

/// Largest share that allows a node to hold at most this many tokens.
pub(crate) fn share_holding_at_most(tokens: u64) -> u32 {
    match u32::try_from(tokens).unwrap_or(u32::MAX) {
        tokens if tokens < MIN_HELD => 0,
        tokens => {
            ((f64::from(tokens - MIN_HELD) / HOLD_S * UNITS_PER_CALL) as u32).saturating_add(1)
        }
    }
}

/// Tokens that a node keeps when it gives the others back.
pub(crate) fn kept(share: u32) -> f64 {
    match share {
        0 => 0.0,
        _ => (per_s(share) * KEEP_S).max(MIN_KEPT),
    }
}
