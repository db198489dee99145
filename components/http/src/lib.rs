//! HTTP/1.1 messages, the caller-facing server loop and the pooled client.

mod alarm;
mod async_pool;
mod body;
mod cancel;
mod converse;
mod head;
mod headers;
mod message;
mod pool;
mod replies;
mod server;
mod watch;
mod wire;
mod workers;

pub use async_pool::AsyncPool;
pub use body::{BodyDecoder, Framing};
pub use cancel::CancelToken;
pub use head::{HeadError, RequestHead, ResponseHead, parse_request_head, parse_response_head};
pub use headers::{Headers, strip_hop_by_hop};
pub use message::{Request, Response, error_response};
pub use pool::{CallError, Pool, PoolConfig};
pub use replies::EarlyReply;
pub use server::{HttpError, RequestLimits, Server, ServerConfig, serve};
pub use watch::CallerWatch;
