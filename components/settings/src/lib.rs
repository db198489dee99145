//! Settings from flags and `GYARD_*` variables, their validation, and log set-up.

mod caller_limits;
mod control;
mod headers;
mod lines;
mod logs;
mod node;
mod node_flags;
mod source;

pub use caller_limits::CallerLimits;
pub use control::{ControlFlags, ControlSettings, OpenGroupSettings, QuotaToleranceSettings};
pub use headers::CallHeaders;
pub use logs::{LogFormat, LogSettings, flush_logs, init_logs};
pub use node::{EmbeddedControl, NodeSettings};
pub use node_flags::NodeFlags;
pub use source::{MeshKey, SettingError, SettingSource};
