//! Sends claims of idempotency keys to the keepers.

use super::drive::{Drive, Notice};
use crate::context::NodeContext;
use calls::{Claim, ClaimRound};
use mesh::Channel;
use std::sync::Arc;
use wire::{KeeperReply, KeeperRequest, decode, encode};

/// A claim round that waits for the replies of all keepers.
pub(crate) fn new_round(context: &NodeContext, claim: &Claim) -> ClaimRound {
    let keepers = context.kernel.node_settings().control.len();
    ClaimRound::new(context.kernel.clock.now_us(), keepers, claim.fingerprint)
}

/// Sends a claim to all keepers; each reply becomes a `CallEvent::KeeperReply`.
pub(crate) fn ask_keepers(
    context: &NodeContext,
    claim: &Claim,
    ends_us: u64,
    round: u64,
    drive: &Arc<Drive>,
) {
    let kernel = &context.kernel;
    let deadline = kernel.clock.instant(ends_us);
    let message = encode(&KeeperRequest::Claim(claim.clone()));
    for (keeper, address) in kernel.node_settings().control.iter().enumerate() {
        let drive = Arc::clone(drive);
        kernel.mesh.request(
            *address,
            Channel::Keeper,
            message.clone(),
            deadline,
            move |outcome| {
                let reply = match outcome.map(decode::<KeeperReply>) {
                    Ok(Ok(KeeperReply::Claim(reply))) => Some(reply),
                    _ => None,
                };
                drive.notify(Notice::KeeperReply {
                    round,
                    keeper,
                    reply,
                });
            },
        );
    }
}
