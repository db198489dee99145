//! Digests that are the same on every platform and compiler version.

use model::{Hedge, Priority, ProbeMode, Profile, ZonePreference};

const FNV64_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV64_PRIME: u64 = 0x0000_0100_0000_01b3;
const FNV128_OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const FNV128_PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

/// FNV-1a over bytes, 128 bits wide.
pub(crate) fn fnv128(bytes: &[u8]) -> u128 {
    bytes.iter().fold(FNV128_OFFSET, |hash, byte| {
        (hash ^ u128::from(*byte)).wrapping_mul(FNV128_PRIME)
    })
}

/// FNV-1a over typed fields, with a final mix so that sums of digests stay well spread.
pub(crate) struct Digest(u64);

impl Digest {
    pub(crate) fn new() -> Self {
        Digest(FNV64_OFFSET)
    }

    pub(crate) fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV64_PRIME);
        }
        self
    }

    pub(crate) fn number(&mut self, number: u64) -> &mut Self {
        self.bytes(&number.to_le_bytes())
    }

    pub(crate) fn text(&mut self, text: &str) -> &mut Self {
        self.number(text.len() as u64).bytes(text.as_bytes())
    }

    /// Adds every field; a new field of `Profile` does not compile until it is added here.
    pub(crate) fn profile(&mut self, profile: &Profile) -> &mut Self {
        let Profile {
            name,
            idempotent,
            deadline_ms,
            attempts,
            hedge:
                Hedge {
                    enabled,
                    quantile_percent,
                    max_percent,
                },
            priority,
            queue_limit,
            measure,
            probe_budget_per_s,
            zone_preference,
            retry_budget_percent,
        } = profile;
        self.text(name.as_str())
            .number(u64::from(*idempotent))
            .number(u64::from(*deadline_ms))
            .number(u64::from(*attempts))
            .number(u64::from(*enabled))
            .number(u64::from(*quantile_percent))
            .number(u64::from(*max_percent))
            .number(match priority {
                Priority::Low => 0,
                Priority::Normal => 1,
                Priority::High => 2,
            })
            .number(u64::from(*queue_limit))
            .number(match measure {
                ProbeMode::None => 0,
                ProbeMode::Economical => 1,
                ProbeMode::Fast => 2,
            })
            .number(u64::from(*probe_budget_per_s))
            .number(match zone_preference {
                ZonePreference::None => 0,
                ZonePreference::Prefer => 1,
                ZonePreference::Local => 2,
            })
            .number(u64::from(*retry_budget_percent))
    }

    pub(crate) fn finish(&self) -> u64 {
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
