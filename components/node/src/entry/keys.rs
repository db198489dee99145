//! Claims idempotency keys at the keepers.

use super::drive::Notice;
use crate::context::NodeContext;
use calls::{Claim, ClaimRound};
use crossbeam::channel::Sender;
use mesh::Channel;
use wire::{KeeperReply, KeeperRequest, decode, encode};

/// Asks all keepers for the key; their replies arrive as notices.
pub(crate) fn start_claim(
    context: &NodeContext,
    claim: &Claim,
    notices: &Sender<Notice>,
) -> ClaimRound {
    let kernel = &context.kernel;
    let keepers = &kernel.node_settings().control;
    let round = ClaimRound::new(kernel.clock.now_us(), keepers.len(), claim.fingerprint);
    let deadline = kernel.clock.instant(round.ends_us());
    let message = encode(&KeeperRequest::Claim(claim.clone()));
    for (keeper, address) in keepers.iter().enumerate() {
        let (notices, attempt) = (notices.clone(), claim.attempt);
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
                // The call may have ended in the meantime.
                let _ = notices.send(Notice::Keeper {
                    attempt,
                    keeper,
                    reply,
                });
            },
        );
    }
    round
}
