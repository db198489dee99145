//! The log line of a routing decision.

use super::call::Prepared;
use routing::{Choice, Router};

/// Logs what was weighed, what was chosen and why.
pub(super) fn log_decision(
    call: &Prepared,
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
            format!("{}={}us{mark}", name(c.upstream), c.expected_us)
        })
        .collect();
    log::info!(
        "entry: call {} service {} profile {} attempt {earlier_attempts} weighed {} chose {}, {:?}.",
        call.call,
        call.service,
        call.profile.name,
        weighed.join(" "),
        name(choice.upstream),
        choice.reason
    );
}
