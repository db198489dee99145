//! Helpers shared by the subcommands of `gyard-bench`.

use crate::upstream::AnnouncedRule;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::io;

/// Parses `METHOD:PATH=PROFILE`; the method `*` matches every method.
pub(crate) fn parse_rule(text: &str) -> Result<AnnouncedRule, String> {
    let parts = text
        .split_once(':')
        .and_then(|(method, rest)| Some((method, rest.rsplit_once('=')?)));
    let Some((method, (path_prefix, profile))) = parts else {
        return Err(format!("--rule {text}: METHOD:PATH=PROFILE is expected"));
    };
    Ok(AnnouncedRule {
        method: (method != "*").then(|| method.to_owned()),
        path_prefix: path_prefix.to_owned(),
        profile: profile.to_owned(),
    })
}

/// Blocks until SIGINT or SIGTERM arrives.
pub(crate) fn wait_for_signal() -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    signals.forever().next();
    Ok(())
}
