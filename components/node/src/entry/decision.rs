//! Log line of a routing decision.

use super::call::PreparedCall;
use routing::{Choice, Router};

/// The customer of a call as log lines show it, after a space; empty if there is none.
pub(super) fn customer_note(customer: Option<&str>) -> String {
    customer.map_or_else(String::new, |name| format!(" customer {name}"))
}

/// Logs the candidates with their expected latencies, the chosen upstream and the reason.
pub(super) fn log_decision(
    call: &PreparedCall,
    now_us: u64,
    router: &Router,
    choice: &Choice,
    earlier_attempts: usize,
) {
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let name = |key| {
        router
            .upstream(key)
            .map_or("?", |upstream| upstream.name.as_str())
    };
    let weighed: Vec<String> = router
        .candidates()
        .iter()
        .map(|c| {
            let mark = if c.ejected { " ejected" } else { "" };
            let age_ms = router
                .signal_age_us(c.upstream, now_us)
                .map(|us| us / 1_000);
            let age = age_ms.map_or_else(|| "?".to_owned(), |ms| ms.to_string());
            format!("{}={}us/{age}ms{mark}", name(c.upstream), c.expected_us)
        })
        .collect();
    log::info!(
        "entry: request {} call {} service {}{} profile {} configuration {} attempt {} weighed {} chose {}, {:?}.",
        call.request_id,
        call.call,
        call.service,
        customer_note(call.customer.as_deref()),
        call.profile.name,
        call.configuration,
        earlier_attempts,
        weighed.join(" "),
        name(choice.upstream),
        choice.reason
    );
}
