//! Guards against questions for the proof of strict revocation that take more than their budget of 300
//! bytes per second and node, with the frames around them.

use mesh::HEADER_BYTES;
use model::Revision;
use wire::{ControlReply, ControlRequest, encode};

const BUDGET_BYTES_PER_S: usize = 300;
/// Questions per second: two while they are answered, three while replicas hold them without a leader
/// (see `AskSchedule` and its tests).
const ASKS_PER_S: usize = 3;

#[test]
fn bytes_per_second() {
    let revision = Revision {
        term: 1 << 20,
        number: 1 << 34,
    };
    let question = encode(&ControlRequest::Confirm { have: revision });
    for reply in [ControlReply::Confirmed { revision }, ControlReply::NoLeader] {
        let bytes = 2 * HEADER_BYTES + question.len() + encode(&reply).len();
        println!("{bytes} bytes per question");
        assert!(ASKS_PER_S * bytes <= BUDGET_BYTES_PER_S, "{bytes}");
    }
}
