//! HTTP/1.1 messages, the caller-facing server loop and the pooled client.
