//! The operator: sends configurations to the core until one is acknowledged, and reads them back.

use crate::{http::exchange, record::Record};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// A configuration with two services. `routes` are the entries of `paths`.
pub fn configuration(version: u32, routes: &[String]) -> String {
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_check_path":"/health","max_connections":260,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":"{version:08x}","services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"virtual_hosts":[{{"host":"ficu95.example","paths":[{}]}}]}}"#,
        service("huvo11a"),
        service("wuno96b"),
        routes.join(",")
    )
}

/// A route to one service.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":2500,"target_latency_ms":800,"priority":1,"service":"{service}","attempts":2}}"#
    )
}

/// Sends the configuration to one address after the other until one acknowledges it; returns how
/// long that took, or the last answer.
pub fn submit(
    operators: &[SocketAddr],
    body: &str,
    limit: Duration,
    record: &Record,
) -> Result<Duration, String> {
    let started = Instant::now();
    let mut last = String::from("nothing was sent");
    record.line(format!("operator sends {body}"));
    while started.elapsed() < limit {
        for to in operators {
            let fields = [("Content-Type", "application/json".to_owned())];
            let reply = exchange(
                *to,
                "PUT",
                "/configuration",
                &fields,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            last = match reply {
                Ok(reply) => {
                    let text = String::from_utf8_lossy(&reply.message.body)
                        .trim()
                        .to_owned();
                    record.line(format!("operator at {to}: {} {text}", reply.status));
                    match reply.status {
                        200 => return Ok(started.elapsed()),
                        400..=499 if !matches!(reply.status, 408 | 429) => {
                            return Err(format!("{}", reply.status))
                        }
                        status => status.to_string(),
                    }
                }
                Err(error) => {
                    record.line(format!("operator at {to}: {error}"));
                    error.to_string()
                }
            };
            thread::sleep(Duration::from_millis(100));
        }
    }
    Err(last)
}

/// Reads the configuration back.
pub fn read_back(operators: &[SocketAddr], limit: Duration, record: &Record) -> Option<String> {
    let started = Instant::now();
    while started.elapsed() < limit {
        for to in operators {
            let reply = exchange(
                *to,
                "GET",
                "/configuration",
                &[],
                b"",
                Duration::from_secs(1),
            );
            if let Ok(reply) = reply {
                let text = String::from_utf8_lossy(&reply.message.body).into_owned();
                record.line(format!("read at {to}: {} {text}", reply.status));
                if reply.status == 200 {
                    return Some(text);
                }
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}
