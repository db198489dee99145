//! Hash functions whose results don't depend on the platform or compiler version. Unlike those of
//! `std`, they may be stored and compared between processes.

use model::{Hedge, Priority, ProbeMode, Profile, ZonePreference};

const FNV64_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV64_PRIME: u64 = 0x0000_0100_0000_01b3;
const FNV128_OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const FNV128_PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

/// 128-bit FNV-1a hash.
pub(crate) fn fnv128(bytes: &[u8]) -> u128 {
    bytes.iter().fold(FNV128_OFFSET, |hash, byte| {
        (hash ^ u128::from(*byte)).wrapping_mul(FNV128_PRIME)
    })
}

/// 64-bit FNV-1a hash over typed fields. A final mixing step keeps sums of digests evenly
/// distributed.
pub(crate) struct Digest(u64);

impl Digest {
    pub(crate) fn new() -> Self {
        Digest(FNV64_OFFSET)
    }

    pub(crate) fn add_bytes(&mut self, bytes: &[u8]) -> &mut Self {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV64_PRIME);
        }
        self
    }

    pub(crate) fn add_number(&mut self, number: u64) -> &mut Self {
        self.add_bytes(&number.to_le_bytes())
    }

    pub(crate) fn add_text(&mut self, text: &str) -> &mut Self {
        self.add_number(text.len() as u64)
            .add_bytes(text.as_bytes())
    }

    /// Hashes all fields. The pattern is exhaustive, so that code with a new field of `Profile`
    /// does not compile until the field is hashed here.
    pub(crate) fn add_profile(&mut self, profile: &Profile) -> &mut Self {
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
        self.add_text(name.as_str())
            .add_number(u64::from(*idempotent))
            .add_number(u64::from(*deadline_ms))
            .add_number(u64::from(*attempts))
            .add_number(u64::from(*enabled))
            .add_number(u64::from(*quantile_percent))
            .add_number(u64::from(*max_percent))
            .add_number(match priority {
                Priority::Low => 0,
                Priority::Normal => 1,
                Priority::High => 2,
            })
            .add_number(u64::from(*queue_limit))
            .add_number(match measure {
                ProbeMode::None => 0,
                ProbeMode::Economical => 1,
                ProbeMode::Fast => 2,
            })
            .add_number(u64::from(*probe_budget_per_s))
            .add_number(match zone_preference {
                ZonePreference::None => 0,
                ZonePreference::Prefer => 1,
                ZonePreference::Local => 2,
            })
            .add_number(u64::from(*retry_budget_percent))
    }

    pub(crate) fn finish(&self) -> u64 {
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
