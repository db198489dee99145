//! Splits a node's record into parts that fit a datagram and joins them again.

use crate::{
    info::{MemberError, MemberState, NodeInfo},
    size,
    wire::{Record, Stamp, UpstreamRecord},
};
use model::{NodeId, ProfileRule, Revision, Upstream};
use std::{collections::BTreeMap, sync::Arc};

/// Largest part of a record; the rest of a datagram is left for its header and a notice.
const MAX_PART_BYTES: usize = 1_000;
/// Largest rule, so that a rule and the names of its upstream and node fit one part.
const MAX_RULE_BYTES: usize = 450;
/// Most parts of one record.
const MAX_PARTS: usize = 32;
/// Most records of which parts are awaited.
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

fn record(info: &NodeInfo, stamp: Stamp) -> Record {
    Record {
        node: info.node,
        stamp,
        region: info.region.clone(),
        zone: info.zone.clone(),
        host: info.host.clone(),
        part: 0,
        parts: 1,
        upstreams: Vec::new(),
    }
}

/// Cuts an upstream's rules into runs that fit a part each.
fn rule_runs(upstream: &Upstream, room_bytes: usize) -> Vec<Arc<[ProfileRule]>> {
    let mut runs = Vec::new();
    let mut run = Vec::new();
    let mut used_bytes = 0;
    for rule in upstream.rules.iter() {
        let bytes = size::rule(rule);
        if used_bytes + bytes > room_bytes && !run.is_empty() {
            runs.push(std::mem::take(&mut run).into());
            used_bytes = 0;
        }
        used_bytes += bytes;
        run.push(rule.clone());
    }
    runs.push(run.into());
    runs
}

/// The parts of a node's record, each of which fits a datagram.
pub(crate) fn split(info: &NodeInfo, stamp: Stamp) -> Vec<Record> {
    let base = record(info, stamp);
    let base_bytes = size::bare_record(&base);
    let mut parts = vec![base.clone()];
    let mut used_bytes = base_bytes;
    for upstream in &info.upstreams {
        let bare_bytes = size::bare_upstream(&upstream_record(upstream, Arc::from([])));
        let room_bytes = MAX_PART_BYTES.saturating_sub(base_bytes + bare_bytes);
        for rules in rule_runs(upstream, room_bytes) {
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

/// Checks that a local record can be spread.
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
    let stamp = Stamp {
        sequence: 0,
        base: 0,
        change: None,
    };
    let parts = split(info, stamp).len();
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

/// Collects parts until a record is whole.
#[derive(Debug, Default)]
pub(crate) struct Assembly {
    incomplete: BTreeMap<(NodeId, u32), BTreeMap<u8, Record>>,
}

impl Assembly {
    /// Adds a part; returns the whole record with its stamp once no part is missing.
    pub(crate) fn add(&mut self, part: Record) -> Option<(NodeInfo, Stamp)> {
        let stamp = part.stamp;
        if part.parts <= 1 {
            return Some((join(&[part]), stamp));
        }
        if part.part >= part.parts || usize::from(part.parts) > MAX_PARTS {
            return None;
        }
        let key = (part.node, stamp.sequence);
        let count = usize::from(part.parts);
        let known = self.incomplete.entry(key).or_default();
        known.insert(part.part, part);
        if known.len() == count {
            let parts: Vec<Record> = self.incomplete.remove(&key)?.into_values().collect();
            return Some((join(&parts), stamp));
        }
        if self.incomplete.len() > MAX_INCOMPLETE {
            self.incomplete.pop_first();
        }
        None
    }
}
