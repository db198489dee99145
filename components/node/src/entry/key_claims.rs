//! Sends claims of idempotency keys to the keepers.

use super::driver::{CallDriver, CallEvent};
use crate::context::NodeContext;
use calls::{Claim, ClaimRound};
use mesh::Channel;
use std::sync::Arc;
use wire::{KeeperReply, KeeperRequest, decode, encode};

/// A claim round that waits for the replies of all keepers.
pub(crate) fn new_claim_round(context: &NodeContext, claim: &Claim) -> ClaimRound {
    let keepers = context.kernel.node_settings().control.len();
    ClaimRound::new(context.kernel.clock.now_us(), keepers, claim.fingerprint)
}

/// Sends a claim to all keepers; each reply becomes a `CallEvent::KeeperReply`.
pub(crate) fn send_claim(
    context: &NodeContext,
    claim: &Claim,
    ends_us: u64,
    round: u64,
    driver: &Arc<CallDriver>,
) {
    let kernel = &context.kernel;
    let deadline = kernel.clock.instant(ends_us);
    let message = encode(&KeeperRequest::Claim(claim.clone()));
    for (keeper, address) in kernel.node_settings().control.iter().enumerate() {
        let driver = Arc::clone(driver);
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
                driver.dispatch(CallEvent::KeeperReply {
                    round,
                    keeper,
                    reply,
                });
            },
        );
    }
}
