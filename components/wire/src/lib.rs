//! Messages between nodes and control replicas, encoded with postcard.

mod call;
mod codec;
mod control;
mod keeper;
mod probe;
mod sync;

pub use call::{AttemptStatusRequest, CallReply, CallRequest, HttpMessage, RunCall, RunResult};
pub use codec::{DecodeError, decode, encode};
pub use control::{ControlReply, ControlRequest};
pub use keeper::{KeeperReply, KeeperRequest};
pub use probe::{PROBE_COST_BYTES, Probe};
pub use sync::{CustomerQuotaUse, InstanceReport, NodeReport, SyncReply, SyncRequest};
