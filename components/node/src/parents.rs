//! Calls of the local instance: recognised by their request id, they inherit from the call that they
//! are made for. Used only if owners order waiting calls by cost or admit calls by the capacity
//! downstream.

use crate::context::NodeContext;
use calls::{ParentCall, ParentCalls};
use limits::AdmissionOrder;
use std::sync::{Mutex, PoisonError};
use wire::RunCall;

/// The running calls of the local instance.
#[derive(Default)]
pub(crate) struct Parents(Mutex<ParentCalls>);

impl NodeContext {
    /// Adds a call that starts at the local instance.
    pub(crate) fn start_parent(&self, call: &RunCall, parent: ParentCall) {
        self.with_parents(call, |parents, id| {
            parents.start(id, parent);
            if let Some(downstream) = &self.downstream {
                downstream.lock().start(call.attempt);
            }
        });
    }

    /// Removes a call that has ended at the local instance.
    pub(crate) fn end_parent(&self, now_us: u64, call: &RunCall, is_answered: bool) {
        self.with_parents(call, |parents, id| {
            parents.end(id, call.attempt);
            if let Some(downstream) = &self.downstream {
                let mut downstream = downstream.lock();
                downstream.end(now_us, call.attempt, &call.profile, is_answered);
            }
        });
    }

    /// The running call of the local instance that a call with this request id is made for.
    pub(crate) fn parent_of(&self, request_id: &str) -> Option<ParentCall> {
        if !self.knows_parents() {
            return None;
        }
        let parents = self
            .parents
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        parents.parent_of(request_id).cloned()
    }

    fn knows_parents(&self) -> bool {
        let settings = self.kernel.node_settings();
        let is_used = settings.admission == AdmissionOrder::Cost || settings.downstream_admission;
        is_used && settings.headers.request_id.is_some()
    }

    fn with_parents(&self, call: &RunCall, run: impl FnOnce(&mut ParentCalls, &str)) {
        let name = self.kernel.node_settings().headers.request_id;
        let Some(name) = name.filter(|_| self.knows_parents()) else {
            return;
        };
        let headers = &call.request.headers;
        let id = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        if let Some((_, id)) = id {
            let mut parents = self
                .parents
                .0
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            run(&mut parents, id);
        }
    }
}
