//! Splits a node's record into parts that fit a datagram, and joins them again.

use crate::{
    info::{MemberError, MemberState, NodeInfo},
    size,
    wire::{Record, RecordVersion, UpstreamRecord},
};
use model::{NodeId, ProfileRule, Revision, Upstream};
use std::{collections::BTreeMap, sync::Arc};

/// Largest part of a record in bytes; the rest of a datagram is left for its header and a notice.
const MAX_PART_BYTES: usize = 1_000;
/// Largest rule in bytes, so that a rule and the names of its upstream and node fit one part.
const MAX_RULE_BYTES: usize = 450;
/// Most parts of one record.
const MAX_PARTS: usize = 32;
/// Most incomplete records.
const MAX_INCOMPLETE: usize = 64;

fn upstream_record(upstream: &Upstream, rules: Arc<[ProfileRule]>) -> UpstreamRecord {
    UpstreamRecord {
        name: upstream.name.clone(),
        service: upstream.service.clone(),
        address: upstream.address,
        slots: upstream.slots,
        connections: upstream.connections,
        state: upstream.state,
        announced_ms: upstream.announced_ms,
        default_profile: upstream.default_profile.clone(),
        rules,
        version: upstream.version,
    }
}

fn record(info: &NodeInfo, version: RecordVersion) -> Record {
    Record {
        node: info.node,
        version,
        region: info.region.clone(),
        zone: info.zone.clone(),
        host: info.host.clone(),
        part: 0,
        parts: 1,
        upstreams: Vec::new(),
    }
}

/// Splits an upstream's rules into groups that each fit a part.
fn split_rules(upstream: &Upstream, free_bytes: usize) -> Vec<Arc<[ProfileRule]>> {
    let mut groups = Vec::new();
    let mut group = Vec::new();
    let mut used_bytes = 0;
    for rule in upstream.rules.iter() {
        let bytes = size::rule(rule);
        if used_bytes + bytes > free_bytes && !group.is_empty() {
            groups.push(std::mem::take(&mut group).into());
            used_bytes = 0;
        }
        used_bytes += bytes;
        group.push(rule.clone());
    }
    groups.push(group.into());
    groups
}

/// Splits a node's record into parts that each fit a datagram.
pub(crate) fn split(info: &NodeInfo, version: RecordVersion) -> Vec<Record> {
    let base = record(info, version);
    let base_bytes = size::record_without_upstreams(&base);
    let mut parts = vec![base.clone()];
    let mut used_bytes = base_bytes;
    for upstream in &info.upstreams {
        let bare_bytes = size::upstream_without_rules(&upstream_record(upstream, Arc::from([])));
        let free_bytes = MAX_PART_BYTES.saturating_sub(base_bytes + bare_bytes);
        for rules in split_rules(upstream, free_bytes) {
            let bytes = bare_bytes + rules.iter().map(size::rule).sum::<usize>();
            let is_empty = parts.last().is_some_and(|part| part.upstreams.is_empty());
            if used_bytes + bytes > MAX_PART_BYTES && !is_empty {
                parts.push(base.clone());
                used_bytes = base_bytes;
            }
            used_bytes += bytes;
            if let Some(part) = parts.last_mut() {
                part.upstreams.push(upstream_record(upstream, rules));
            }
        }
    }
    let count = u8::try_from(parts.len()).unwrap_or(u8::MAX);
    for (index, part) in parts.iter_mut().enumerate() {
        part.part = u8::try_from(index).unwrap_or(u8::MAX);
        part.parts = count;
    }
    parts
}

/// Checks that a local record fits the limits of rules and parts.
pub(crate) fn validate(info: &NodeInfo) -> Result<(), MemberError> {
    for upstream in &info.upstreams {
        let longest = upstream.rules.iter().map(size::rule).max().unwrap_or(0);
        if longest > MAX_RULE_BYTES {
            return Err(MemberError::RuleTooLong {
                name: upstream.name.to_string(),
                bytes: longest,
                allowed: MAX_RULE_BYTES,
            });
        }
    }
    let version = RecordVersion {
        sequence: 0,
        base_sequence: 0,
        change: None,
    };
    let parts = split(info, version).len();
    if parts > MAX_PARTS {
        return Err(MemberError::RecordTooLong {
            parts,
            allowed: MAX_PARTS,
        });
    }
    Ok(())
}

fn join_upstreams(node: NodeId, parts: &[Record]) -> Vec<Upstream> {
    let mut upstreams: Vec<Upstream> = Vec::new();
    for part in parts {
        for record in &part.upstreams {
            let known = upstreams
                .iter_mut()
                .find(|known| known.name == record.name && known.service == record.service);
            if let Some(known) = known {
                known.rules = known
                    .rules
                    .iter()
                    .chain(record.rules.iter())
                    .cloned()
                    .collect();
                continue;
            }
            upstreams.push(Upstream {
                name: record.name.clone(),
                service: record.service.clone(),
                availability_zone: part.zone.clone(),
                host: part.host.clone(),
                node,
                address: record.address,
                slots: record.slots,
                connections: record.connections,
                state: record.state,
                announced_ms: record.announced_ms,
                default_profile: record.default_profile.clone(),
                rules: Arc::clone(&record.rules),
                version: record.version,
            });
        }
    }
    upstreams
}

fn join(parts: &[Record]) -> NodeInfo {
    let first = &parts[0];
    NodeInfo {
        node: first.node,
        zone: first.zone.clone(),
        region: first.region.clone(),
        host: first.host.clone(),
        upstreams: join_upstreams(first.node, parts),
        revision: Revision::default(),
        state: MemberState::Alive,
    }
}

/// Collects the parts of records until they are complete.
#[derive(Debug, Default)]
pub(crate) struct PartAssembler {
    incomplete: BTreeMap<(NodeId, u32), BTreeMap<u8, Record>>,
}

impl PartAssembler {
    /// Adds a part; returns the whole record with its version if no part is missing any more.
    pub(crate) fn add(&mut self, part: Record) -> Option<(NodeInfo, RecordVersion)> {
        let version = part.version;
        if part.parts <= 1 {
            return Some((join(&[part]), version));
        }
        if part.part >= part.parts || usize::from(part.parts) > MAX_PARTS {
            return None;
        }
        let key = (part.node, version.sequence);
        let count = usize::from(part.parts);
        let known = self.incomplete.entry(key).or_default();
        known.insert(part.part, part);
        if known.len() == count {
            let parts: Vec<Record> = self.incomplete.remove(&key)?.into_values().collect();
            return Some((join(&parts), version));
        }
        if self.incomplete.len() > MAX_INCOMPLETE {
            self.incomplete.pop_first();
        }
        None
    }
}
