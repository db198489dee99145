//! Encoding of changes and settings in the log, in snapshots and on the mesh.
//!
//! What needs none of the later additions is encoded as before they existed, so that data of older
//! builds stays readable.

use crate::{
    change::Op,
    holders::{HolderUpdate, QuotaHolders},
    settings::GroupSettings,
};
use config::{BaseConfiguration, Configuration};
use model::{AvailabilityZone, Profile, ProfileName};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, sync::Arc};

/// Encoded form of [`Op`]. The order of the variants is part of the format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum StoredOp {
    Add(Profile),
    Update(Profile),
    Retire {
        name: ProfileName,
        successor: Option<ProfileName>,
    },
    ConfigureBase(BaseConfiguration),
    Configure(Arc<Configuration>),
    Evacuate(AvailabilityZone),
    Readmit(AvailabilityZone),
    RecordQuotaHolders(HolderUpdate),
}

impl From<Op> for StoredOp {
    fn from(op: Op) -> Self {
        match op {
            Op::Add(profile) => StoredOp::Add(profile),
            Op::Update(profile) => StoredOp::Update(profile),
            Op::Retire { name, successor } => StoredOp::Retire { name, successor },
            Op::Configure(configuration) => match BaseConfiguration::new(&configuration) {
                Some(base) => StoredOp::ConfigureBase(base),
                None => StoredOp::Configure(configuration),
            },
            Op::Evacuate(zone) => StoredOp::Evacuate(zone),
            Op::Readmit(zone) => StoredOp::Readmit(zone),
            Op::RecordQuotaHolders(update) => StoredOp::RecordQuotaHolders(update),
        }
    }
}

impl From<StoredOp> for Op {
    fn from(stored: StoredOp) -> Self {
        match stored {
            StoredOp::Add(profile) => Op::Add(profile),
            StoredOp::Update(profile) => Op::Update(profile),
            StoredOp::Retire { name, successor } => Op::Retire { name, successor },
            StoredOp::ConfigureBase(base) => Op::Configure(Arc::new(base.into())),
            StoredOp::Configure(configuration) => Op::Configure(configuration),
            StoredOp::Evacuate(zone) => Op::Evacuate(zone),
            StoredOp::Readmit(zone) => Op::Readmit(zone),
            StoredOp::RecordQuotaHolders(update) => Op::RecordQuotaHolders(update),
        }
    }
}

/// Encoded form of [`GroupSettings`]. The first two variants have the encoding of an optional
/// configuration, which older data has in this place.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum StoredSettings {
    None,
    Base(BaseConfiguration),
    Full {
        configuration: Option<Arc<Configuration>>,
        evacuated_zones: BTreeSet<AvailabilityZone>,
    },
    WithHolders {
        configuration: Option<Arc<Configuration>>,
        evacuated_zones: BTreeSet<AvailabilityZone>,
        quota_holders: Arc<QuotaHolders>,
    },
}

impl From<GroupSettings> for StoredSettings {
    fn from(settings: GroupSettings) -> Self {
        if *settings.quota_holders != QuotaHolders::default() {
            return StoredSettings::WithHolders {
                configuration: settings.configuration,
                evacuated_zones: BTreeSet::clone(&settings.evacuated_zones),
                quota_holders: settings.quota_holders,
            };
        }
        if settings.evacuated_zones.is_empty() {
            let Some(configuration) = &settings.configuration else {
                return StoredSettings::None;
            };
            if let Some(base) = BaseConfiguration::new(configuration) {
                return StoredSettings::Base(base);
            }
        }
        StoredSettings::Full {
            configuration: settings.configuration,
            evacuated_zones: BTreeSet::clone(&settings.evacuated_zones),
        }
    }
}

impl From<StoredSettings> for GroupSettings {
    fn from(stored: StoredSettings) -> Self {
        match stored {
            StoredSettings::None => GroupSettings::default(),
            StoredSettings::Base(base) => GroupSettings {
                configuration: Some(Arc::new(base.into())),
                ..GroupSettings::default()
            },
            StoredSettings::Full {
                configuration,
                evacuated_zones,
            } => GroupSettings {
                configuration,
                evacuated_zones: Arc::new(evacuated_zones),
                quota_holders: Arc::default(),
            },
            StoredSettings::WithHolders {
                configuration,
                evacuated_zones,
                quota_holders,
            } => GroupSettings {
                configuration,
                evacuated_zones: Arc::new(evacuated_zones),
                quota_holders,
            },
        }
    }
}
