//! Plug-in `keeper`: stores claims of idempotency keys.
//!
//! A claim assigns a key to one attempt of a call. Each control replica is a keeper and holds the
//! claims in memory; a keeper that restarts copies them from the others.

use crate::context::ControlContext;
use calls::{ClaimConfig, ClaimCopy, ClaimReply, ClaimStart, ClaimTable, KeyHash};
use kernel::{Kernel, PluginEntry, Role, RunningPlugin, StartError};
use mesh::{Channel, Inbound};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};
use wire::{KeeperReply, KeeperRequest, decode, encode};

/// Claims per page of a copy.
const PAGE_CLAIMS: usize = 500;
/// Timeout of a request for one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between attempts to copy claims.
const COPY_PAUSE: Duration = Duration::from_millis(250);

inventory::submit! {
    PluginEntry { name: "keeper", role: Role::Control, order: 6, start }
}

struct Keeper {
    control: Arc<ControlContext>,
    /// `None` until it is known whether earlier claims may exist.
    table: Mutex<Option<ClaimTable>>,
    peers: Vec<SocketAddr>,
    keepers: usize,
    started_us: u64,
    /// Whether this replica was a founder of its group at the start of the process.
    was_founder: bool,
}

fn start(kernel: &Arc<Kernel>) -> Result<RunningPlugin, StartError> {
    let settings = kernel
        .control_settings()
        .ok_or_else(|| StartError::new("keeper", "this process has no control settings"))?;
    let own_index = (settings.replica as usize).saturating_sub(1);
    let control = ControlContext::for_kernel(kernel);
    let keeper = Arc::new(Keeper {
        table: Mutex::new(None),
        keepers: settings.group.len(),
        peers: settings
            .group
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != own_index)
            .map(|(_, address)| *address)
            .collect(),
        started_us: kernel.clock.now_us(),
        // On an empty disk a replica becomes a founder only after its start, so a founder at the
        // start has restarted.
        was_founder: control.replica_state().is_founder,
        control,
    });
    kernel.mesh.set_handler(Channel::Keeper, {
        let keeper = Arc::clone(&keeper);
        move |inbound| keeper.handle_message(inbound)
    });
    let warm_up_thread = thread::spawn(move || keeper.warm_up());
    Ok(RunningPlugin::with_stop(move || {
        let _ = warm_up_thread.join();
    }))
}

impl Keeper {
    fn handle_message(&self, inbound: Inbound) {
        let now_us = self.now_us();
        let reply = match decode(&inbound.payload) {
            Ok(KeeperRequest::Claim(claim)) => {
                let reply = self
                    .table()
                    .as_mut()
                    .map_or(ClaimReply::Warming, |table| table.claim(now_us, &claim));
                KeeperReply::Claim(reply)
            }
            Ok(KeeperRequest::Copy { from }) => KeeperReply::Copy(self.copy_page(now_us, from)),
            Err(error) => {
                log::warn!(
                    "keeper: a message from {} was dropped: {error}.",
                    inbound.from
                );
                return;
            }
        };
        if let Err(error) = inbound.reply.send(encode(&reply)) {
            log::debug!("keeper: a reply could not be sent: {error}.");
        }
    }

    fn copy_page(&self, now_us: u64, from: Option<KeyHash>) -> ClaimCopy {
        let mut table = self.table();
        match table.as_mut() {
            Some(table) => table.export(now_us, from, PAGE_CLAIMS),
            None => ClaimCopy {
                complete: false,
                after: from,
                next: None,
                claims: Vec::new(),
            },
        }
    }

    /// Creates the table, then copies the claims of the other keepers if this one restarted.
    fn warm_up(&self) {
        let shutdown = &self.control.kernel.shutdown;
        while !self.try_create_table() {
            if shutdown.wait(COPY_PAUSE) {
                return;
            }
        }
        loop {
            let now_us = self.now_us();
            let copy_from_us = {
                let mut table = self.table();
                match table.as_mut() {
                    Some(table) => table.is_warming(now_us).then(|| table.copy_from_us()),
                    None => None,
                }
            };
            let Some(copy_from_us) = copy_from_us else {
                break;
            };
            if copy_from_us.is_some_and(|at_us| now_us >= at_us) {
                for (index, peer) in self.peers.iter().enumerate() {
                    self.copy_from(index, *peer);
                }
            }
            if shutdown.wait(COPY_PAUSE) {
                return;
            }
        }
        log::info!(
            "keeper: ready, {} claims.",
            self.table().as_ref().map_or(0, ClaimTable::len)
        );
    }

    /// Creates the table once it is known whether this keeper restarted; returns false before that.
    /// Only a keeper whose group formed after its start is known to have no earlier claims.
    fn try_create_table(&self) -> bool {
        let state = self.control.replica_state();
        let start = if self.was_founder {
            ClaimStart::Restarted
        } else if state.is_founder {
            ClaimStart::NewGroup
        } else if state.has_leader() {
            ClaimStart::Restarted
        } else {
            return false;
        };
        log::info!("keeper: starting, {start:?}.");
        let config = ClaimConfig {
            keepers: self.keepers,
            ..ClaimConfig::default()
        };
        *self.table() = Some(ClaimTable::new(self.started_us, config, start));
        true
    }

    fn copy_from(&self, index: usize, peer: SocketAddr) {
        let mut from = None;
        loop {
            let requested_us = self.now_us();
            let Some(copy) = self.request_page(peer, from) else {
                return;
            };
            let next = copy.next;
            if let Some(table) = self.table().as_mut() {
                table.import(self.now_us(), requested_us, index, &copy);
            }
            if next.is_none() {
                return;
            }
            from = next;
        }
    }

    fn request_page(&self, peer: SocketAddr, from: Option<KeyHash>) -> Option<ClaimCopy> {
        let request = KeeperRequest::Copy { from };
        match self
            .control
            .kernel
            .request_blocking(peer, Channel::Keeper, &request, PAGE_TIMEOUT)
        {
            Some(KeeperReply::Copy(copy)) => Some(copy),
            _ => None,
        }
    }

    fn now_us(&self) -> u64 {
        self.control.kernel.clock.now_us()
    }

    fn table(&self) -> MutexGuard<'_, Option<ClaimTable>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
