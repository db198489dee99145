//! Server, responses and memory budget of the product's own platform and operator ports.

mod server;
mod server_memory;

pub use server::{PortLimits, serve};
pub use server_memory::{port_memory, refresh_memory_metrics, server_memory};

use errors::ErrorKind;
use http::Response;
use serde_json::{Value, json};

/// Content type of the metrics page.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A response of these ports.
pub type AdminResponse = Response;

/// Creates a response with a JSON body.
pub fn json_response(status: u16, value: &Value) -> AdminResponse {
    Response::new(status, format!("{value}\n")).with_header("content-type", "application/json")
}

/// Creates the response to a refused request from the error table.
pub fn error_response(kind: ErrorKind, detail: impl AsRef<str>) -> AdminResponse {
    json_response(kind.info().status, &error_body(kind, detail.as_ref()))
}

/// The JSON body of the response to a refused request.
pub fn error_body(kind: ErrorKind, detail: &str) -> Value {
    let info = kind.info();
    json!({
        "error": info.code,
        "message": info.message,
        "detail": detail,
        "advice": info.advice,
    })
}

/// Creates the response with the metrics page.
pub fn metrics_response(text: impl Into<String>) -> AdminResponse {
    Response::new(200, text.into()).with_header("content-type", METRICS_TYPE)
}
