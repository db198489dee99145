//! Route queries on the platform port: `GET /v1/route?host=H&path=P`.

use crate::context::NodeContext;
use admin::{AdminResponse, error_response, json_response};
use api::RouteQuery;
use errors::ErrorKind;
use http::Request;
use serde_json::json;

/// Longest value of a parameter in bytes, as long as a request head may be by default.
const MAX_VALUE_BYTES: usize = 16 << 10;
/// Method of a query without one.
const DEFAULT_METHOD: &str = "GET";

/// Answers a route query. A call that would be refused is no error of the query.
pub(crate) fn answer_route_query(request: &Request, context: &NodeContext) -> AdminResponse {
    let query = match parse_query(&request.target) {
        Ok(query) => query,
        Err(reason) => return error_response(ErrorKind::MalformedRequest, reason),
    };
    let preview = context.route_preview.get();
    match preview.and_then(|preview| preview(&query)) {
        Some(answer) => json_response(200, &json!(answer)),
        None => error_response(ErrorKind::Busy, "the node takes no calls yet or any more"),
    }
}

/// Parses the parameters; the error names the one that is wrong.
fn parse_query(target: &str) -> Result<RouteQuery, String> {
    let text = target.split_once('?').map_or("", |(_, text)| text);
    let (mut host, mut path, mut method, mut customer, mut rank) = (None, None, None, None, None);
    for (name, value) in form_urlencoded::parse(text.as_bytes()) {
        let field = match name.as_ref() {
            "host" => &mut host,
            "path" => &mut path,
            "method" => &mut method,
            "customer" => &mut customer,
            "rank" => &mut rank,
            _ => {
                return Err(format!(
                    "parameter {name:?} is unknown; use host, path, method, customer and rank"
                ));
            }
        };
        if value.is_empty() || value.len() > MAX_VALUE_BYTES {
            return Err(format!(
                "parameter {name} has {} bytes; 1 to {MAX_VALUE_BYTES} are allowed",
                value.len()
            ));
        }
        if field.replace(value.into_owned()).is_some() {
            return Err(format!("parameter {name} is given twice"));
        }
    }
    let is_visible = |text: &str| text.bytes().all(|b| b.is_ascii_graphic());
    let host = host.ok_or("parameter host is missing")?;
    if !is_visible(&host) {
        return Err(format!("parameter host is {host:?}; give a host name"));
    }
    let path = path.ok_or("parameter path is missing")?;
    if !path.starts_with('/') || !is_visible(&path) {
        return Err(format!(
            "parameter path is {path:?}; give a path that begins with / as callers encode it"
        ));
    }
    let method = method.unwrap_or_else(|| DEFAULT_METHOD.to_owned());
    if !method.bytes().all(is_token_byte) {
        return Err(format!(
            "parameter method is {method:?}; give a method such as GET"
        ));
    }
    let rank = rank.map(|text| match text.parse() {
        Ok(rank) => Ok(rank),
        Err(_) => Err(format!(
            "parameter rank is {text:?}; give a whole number from 0 to {}",
            u32::MAX
        )),
    });
    Ok(RouteQuery {
        host,
        path,
        method,
        customer,
        rank: rank.transpose()?,
    })
}

/// Whether a byte may be part of a method (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

#[cfg(test)]
#[path = "../tests/inside/route_parameters.rs"]
mod tests;
