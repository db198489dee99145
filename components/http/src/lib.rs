//! HTTP/1.1 messages, a server for callers and pools of client connections.

mod async_pool;
mod body;
mod body_buffer;
mod caller;
mod cancel;
mod connection;
mod echo;
mod exchange;
mod head;
mod headers;
mod message;
mod pool;
mod read_buffer;
mod reply_queue;
mod response_budget;
mod server;
mod socket;
mod wake_timer;
mod workers;

pub use async_pool::AsyncPool;
pub use body::{BodyDecoder, Framing};
pub use caller::CallerConnection;
pub use cancel::CancelToken;
pub use head::{ParseError, RequestHead, ResponseHead, parse_request_head, parse_response_head};
pub use headers::{Headers, strip_hop_by_hop};
pub use message::{Request, Response, error_response};
pub use pool::{CallError, Pool, PoolConfig};
pub use reply_queue::EarlyReply;
pub use response_budget::ResponseBudget;
pub use server::{RequestLimits, ServeError, Server, ServerConfig, serve};
