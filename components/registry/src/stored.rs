//! Encoding of changes and settings in the log, in snapshots and on the mesh.
//!
//! What needs none of the later additions is encoded as before they existed, so that data of older
//! builds stays readable.

use crate::{
    change::Op,
    holders::{HolderUpdate, QuotaHolders},
    settings::GroupSettings,
};
use config::{Configuration, FirstFormat, SecondFormat, StoredConfiguration};
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
    ConfigureFirst(FirstFormat),
    ConfigureSecond(SecondFormat),
    Evacuate(AvailabilityZone),
    Readmit(AvailabilityZone),
    RecordQuotaHolders(HolderUpdate),
    ConfigureThird(Arc<Configuration>),
}

impl From<Op> for StoredOp {
    fn from(op: Op) -> Self {
        match op {
            Op::Add(profile) => StoredOp::Add(profile),
            Op::Update(profile) => StoredOp::Update(profile),
            Op::Retire { name, successor } => StoredOp::Retire { name, successor },
            Op::Configure(configuration) => match StoredConfiguration::new(&configuration) {
                StoredConfiguration::First(stored) => StoredOp::ConfigureFirst(stored),
                StoredConfiguration::Second(stored) => StoredOp::ConfigureSecond(stored),
                StoredConfiguration::Third(stored) => StoredOp::ConfigureThird(stored),
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
            StoredOp::ConfigureFirst(stored) => Op::Configure(Arc::new(stored.into())),
            StoredOp::ConfigureSecond(stored) => Op::Configure(Arc::new(stored.into())),
            StoredOp::ConfigureThird(stored) => Op::Configure(stored),
            StoredOp::Evacuate(zone) => Op::Evacuate(zone),
            StoredOp::Readmit(zone) => Op::Readmit(zone),
            StoredOp::RecordQuotaHolders(update) => Op::RecordQuotaHolders(update),
        }
    }
}

/// Encoded form of [`GroupSettings`]. The first two variants have the encoding of an optional
/// configuration, which older data has in this place. The order of the variants is part of the format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum StoredSettings {
    None,
    First(FirstFormat),
    Second {
        configuration: Option<SecondFormat>,
        evacuated_zones: BTreeSet<AvailabilityZone>,
    },
    SecondWithHolders {
        configuration: Option<SecondFormat>,
        evacuated_zones: BTreeSet<AvailabilityZone>,
        quota_holders: Arc<QuotaHolders>,
    },
    Third {
        configuration: Arc<Configuration>,
        evacuated_zones: BTreeSet<AvailabilityZone>,
        quota_holders: Arc<QuotaHolders>,
    },
}

impl From<GroupSettings> for StoredSettings {
    fn from(settings: GroupSettings) -> Self {
        let has_holders = *settings.quota_holders != QuotaHolders::default();
        let evacuated_zones = BTreeSet::clone(&settings.evacuated_zones);
        let is_plain = evacuated_zones.is_empty() && !has_holders;
        let configuration = match &settings.configuration {
            None if is_plain => return StoredSettings::None,
            None => None,
            Some(configuration) => match StoredConfiguration::new(configuration) {
                StoredConfiguration::First(stored) if is_plain => {
                    return StoredSettings::First(stored);
                }
                StoredConfiguration::First(_) => SecondFormat::new(configuration),
                StoredConfiguration::Second(stored) => Some(stored),
                StoredConfiguration::Third(configuration) => {
                    return StoredSettings::Third {
                        configuration,
                        evacuated_zones,
                        quota_holders: settings.quota_holders,
                    };
                }
            },
        };
        match has_holders {
            true => StoredSettings::SecondWithHolders {
                configuration,
                evacuated_zones,
                quota_holders: settings.quota_holders,
            },
            false => StoredSettings::Second {
                configuration,
                evacuated_zones,
            },
        }
    }
}

impl From<StoredSettings> for GroupSettings {
    fn from(stored: StoredSettings) -> Self {
        match stored {
            StoredSettings::None => GroupSettings::default(),
            StoredSettings::First(stored) => GroupSettings {
                configuration: Some(Arc::new(stored.into())),
                ..GroupSettings::default()
            },
            StoredSettings::Second {
                configuration,
                evacuated_zones,
            } => GroupSettings {
                configuration: configuration.map(|stored| Arc::new(stored.into())),
                evacuated_zones: Arc::new(evacuated_zones),
                quota_holders: Arc::default(),
            },
            StoredSettings::SecondWithHolders {
                configuration,
                evacuated_zones,
                quota_holders,
            } => GroupSettings {
                configuration: configuration.map(|stored| Arc::new(stored.into())),
                evacuated_zones: Arc::new(evacuated_zones),
                quota_holders,
            },
            StoredSettings::Third {
                configuration,
                evacuated_zones,
                quota_holders,
            } => GroupSettings {
                configuration: Some(configuration),
                evacuated_zones: Arc::new(evacuated_zones),
                quota_holders,
            },
        }
    }
}
