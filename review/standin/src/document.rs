//! Configuration documents as the platform's operators send them.

/// Host name of all routes.
pub const HOST: &str = "ficu95.example";

/// One route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u16,
}

/// A configuration with these services and routes.
pub fn document(version: u64, services: &[&str], routes: &[Route]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_check_path":"/health","max_connections":260,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(number, route)| {
            format!(
                r#"{{"name":"r-{number}","path_prefix":"{}","kind":"{}","timeout_ms":{},"target_latency_ms":{},"priority":1,"service":"{}","attempts":{}}}"#,
                route.prefix, route.kind, route.timeout_ms, route.target_ms, route.service, route.attempts
            )
        })
        .collect();
    format!(
        r#"{{"version":"{version:08x}","services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"virtual_hosts":[{{"host":"{HOST}","paths":[{}]}}]}}"#,
        services.join(","),
        routes.join(",")
    )
}
