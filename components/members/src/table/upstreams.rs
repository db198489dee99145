//! Visibility of upstreams that several members announce.

use super::Table;
use crate::info::{MemberAction, NodeInfo};
use model::{ServiceName, UpstreamName};
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

pub(super) type UpstreamId = (ServiceName, UpstreamName);

/// Ids of the upstreams that a record announces.
pub(super) fn upstream_ids(info: &NodeInfo) -> Vec<UpstreamId> {
    info.upstreams
        .iter()
        .map(|upstream| (upstream.service.clone(), upstream.name.clone()))
        .collect()
}

impl Table {
    /// Whether another live member with a newer incarnation announces the same upstream.
    fn is_superseded(&self, address: SocketAddr, id: &UpstreamId) -> bool {
        let Some(announcers) = self
            .announcers
            .get(id)
            .filter(|announcers| announcers.len() > 1)
        else {
            return false;
        };
        let precedence = |announcer: SocketAddr| {
            let member = &self.live[&announcer];
            (member.info.node.incarnation, announcer)
        };
        announcers
            .iter()
            .any(|announcer| precedence(*announcer) > precedence(address))
    }

    /// Recomputes the visible records of all members that announce one of the upstreams. Returns
    /// the members whose visible record changed.
    pub(super) fn refresh_visible(&mut self, ids: &[UpstreamId]) -> BTreeSet<SocketAddr> {
        let announcers: BTreeSet<SocketAddr> = ids
            .iter()
            .filter_map(|id| self.announcers.get(id))
            .flatten()
            .copied()
            .collect();
        let mut changed = BTreeSet::new();
        for announcer in announcers {
            let visible = self.visible_info(announcer);
            if let Some(member) = self.live.get_mut(&announcer)
                && member.info != visible
            {
                member.info = visible;
                changed.insert(announcer);
            }
        }
        changed
    }

    /// A member's record without the upstreams that another member with a newer incarnation
    /// announces too.
    fn visible_info(&self, announcer: SocketAddr) -> Arc<NodeInfo> {
        let announced = &self.live[&announcer].announced;
        let has_superseded = upstream_ids(announced)
            .iter()
            .any(|id| self.is_superseded(announcer, id));
        if !has_superseded {
            return Arc::clone(announced);
        }
        let mut info = NodeInfo::clone(announced);
        info.upstreams.retain(|upstream| {
            let id = (upstream.service.clone(), upstream.name.clone());
            !self.is_superseded(announcer, &id)
        });
        Arc::new(info)
    }

    pub(super) fn push_changed(
        &self,
        changed: BTreeSet<SocketAddr>,
        except: SocketAddr,
        actions: &mut Vec<MemberAction>,
    ) {
        let others = changed.into_iter().filter(|address| *address != except);
        for member in others.filter_map(|address| self.live.get(&address)) {
            actions.push(MemberAction::Changed(Arc::clone(&member.info)));
        }
    }
}
