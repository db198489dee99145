//! Command line flags and help texts.

use crate::failure::Failure;
use gumdrop::Options;
use std::{net::SocketAddr, time::Duration};

/// Time for which a command tries to reach the control group, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Time for which `--wait` waits, in milliseconds; a change is in effect after 4 s at most.
const DEFAULT_WAIT_MS: u64 = 10_000;

/// Flags that may stand before or after the command.
const COMMON_FLAGS: [&str; 3] = ["--control-operator", "--output", "--timeout-ms"];

/// Commands for the operators of geraniumyard.
#[derive(Debug, Options)]
pub(crate) struct Flags {
    #[options(no_short, help = "print this help")]
    pub(crate) help: bool,
    #[options(
        no_short,
        meta = "IP:PORT,...",
        help = "operator ports of the control group (or GYARD_OPERATORS)"
    )]
    pub(crate) control_operator: Option<String>,
    #[options(no_short, meta = "FORMAT", help = "table (default) or json")]
    pub(crate) output: Option<String>,
    #[options(
        no_short,
        meta = "MS",
        help = "time to reach the control group, 10000 by default"
    )]
    pub(crate) timeout_ms: Option<u64>,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "add, change, retire, show or list profiles")]
    Profile(ProfileFlags),
    #[options(help = "show replicas, nodes and the revision in effect on each")]
    Status(StatusFlags),
    #[options(help = "show the limits of customers, their use and shares")]
    Customers(StatusFlags),
    #[options(help = "drain an instance: it finishes its calls and takes no new ones")]
    Drain(DrainFlags),
    #[options(help = "tell from log files what became of a request")]
    Explain(ExplainFlags),
    #[options(help = "evacuate, readmit or list availability zones")]
    Zone(ZoneFlags),
    #[options(help = "show where a node would send a call now, and why")]
    Route(RouteFlags),
}

#[derive(Debug, Options)]
pub(crate) struct ZoneFlags {
    #[options(no_short, help = "print this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<ZoneCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum ZoneCommand {
    #[options(help = "send no more calls to the instances of a zone")]
    Evacuate(ZoneCommandFlags),
    #[options(help = "send calls to the instances of a zone again")]
    Readmit(ZoneCommandFlags),
    #[options(help = "list all zones and whether they are evacuated")]
    List(StatusFlags),
}

#[derive(Debug, Options)]
pub(crate) struct ZoneCommandFlags {
    #[options(no_short, help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "name of the availability zone")]
    pub(crate) zone: Vec<String>,
    #[options(no_short, meta = "ID", help = "id of the command, to resend it")]
    pub(crate) change_id: Option<String>,
    #[options(no_short, help = "return once the command is in effect everywhere")]
    pub(crate) wait: bool,
    #[options(no_short, meta = "MS", help = "longest --wait, 10000 by default")]
    pub(crate) wait_ms: Option<u64>,
}

#[derive(Debug, Options)]
pub(crate) struct RouteFlags {
    #[options(no_short, help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, meta = "IP:PORT", help = "platform port of the node")]
    pub(crate) node: Option<String>,
    #[options(no_short, meta = "HOST", help = "host that the call is for")]
    pub(crate) host: Option<String>,
    #[options(no_short, meta = "PATH", help = "path of the call")]
    pub(crate) path: Option<String>,
    #[options(no_short, meta = "METHOD", help = "method of the call, GET by default")]
    pub(crate) method: Option<String>,
    #[options(no_short, meta = "NAME", help = "customer that the call is sent for")]
    pub(crate) customer: Option<String>,
    #[options(
        no_short,
        meta = "N",
        help = "rank in place of the customer's and the route's"
    )]
    pub(crate) rank: Option<u32>,
}

#[derive(Debug, Options)]
pub(crate) struct ExplainFlags {
    #[options(no_short, help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "id of the request, then the log files of nodes")]
    pub(crate) id_and_files: Vec<String>,
}

#[derive(Debug, Options)]
pub(crate) struct ProfileFlags {
    #[options(no_short, help = "print this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<ProfileCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum ProfileCommand {
    #[options(help = "add a profile from flags or a file")]
    Add(EditFlags),
    #[options(help = "change the given fields of a profile, or replace it by a file")]
    Change(EditFlags),
    #[options(help = "retire a profile")]
    Retire(RetireFlags),
    #[options(help = "show a profile and its revision")]
    Show(ShowFlags),
    #[options(help = "list all profiles")]
    List(StatusFlags),
}

/// Flags that all profile changes share.
#[derive(Clone, Debug, Default)]
pub(crate) struct SubmitOptions {
    pub(crate) change_id: Option<String>,
    pub(crate) expect_revision: Option<u64>,
    pub(crate) wait: Option<Duration>,
}

#[derive(Debug, Default, Options)]
pub(crate) struct EditFlags {
    #[options(no_short, help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "name of the profile")]
    pub(crate) name: Vec<String>,
    #[options(no_short, meta = "PATH", help = "TOML file with the whole profile")]
    pub(crate) file: Option<String>,
    #[options(no_short, meta = "BOOL", help = "whether a call may run twice")]
    pub(crate) idempotent: Option<bool>,
    #[options(no_short, meta = "MS", help = "time for the whole call")]
    pub(crate) deadline_ms: Option<u32>,
    #[options(no_short, meta = "N", help = "most attempts of one call")]
    pub(crate) attempts: Option<u16>,
    #[options(no_short, meta = "BOOL", help = "whether calls are hedged")]
    pub(crate) hedge: Option<bool>,
    #[options(no_short, meta = "N", help = "latency quantile before a hedge")]
    pub(crate) hedge_quantile_percent: Option<u8>,
    #[options(no_short, meta = "N", help = "most hedged calls in percent")]
    pub(crate) hedge_max_percent: Option<u8>,
    #[options(no_short, meta = "PRIORITY", help = "low, normal or high")]
    pub(crate) priority: Option<String>,
    #[options(no_short, meta = "N", help = "most calls waiting at one owner")]
    pub(crate) queue_limit: Option<u32>,
    #[options(no_short, meta = "MODE", help = "none, economical or fast")]
    pub(crate) measure: Option<String>,
    #[options(no_short, meta = "N", help = "most probes of one node per second")]
    pub(crate) probe_budget_per_s: Option<u32>,
    #[options(no_short, meta = "MODE", help = "none or prefer")]
    pub(crate) zone_preference: Option<String>,
    #[options(no_short, meta = "N", help = "retries per successful call in percent")]
    pub(crate) retry_budget_percent: Option<u8>,
    #[options(no_short, meta = "ID", help = "id of the change, to resend it")]
    pub(crate) change_id: Option<String>,
    #[options(no_short, meta = "N", help = "revision that the profile must have")]
    pub(crate) expect_revision: Option<u64>,
    #[options(no_short, help = "return once the change is in effect everywhere")]
    pub(crate) wait: bool,
    #[options(no_short, meta = "MS", help = "longest --wait, 10000 by default")]
    pub(crate) wait_ms: Option<u64>,
}

#[derive(Debug, Options)]
pub(crate) struct RetireFlags {
    #[options(no_short, help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "name of the profile")]
    pub(crate) name: Vec<String>,
    #[options(no_short, meta = "NAME", help = "profile that takes over its calls")]
    pub(crate) successor: Option<String>,
    #[options(no_short, meta = "ID", help = "id of the change, to resend it")]
    pub(crate) change_id: Option<String>,
    #[options(no_short, meta = "N", help = "revision that the profile must have")]
    pub(crate) expect_revision: Option<u64>,
    #[options(no_short, help = "return once the change is in effect everywhere")]
    pub(crate) wait: bool,
    #[options(no_short, meta = "MS", help = "longest --wait, 10000 by default")]
    pub(crate) wait_ms: Option<u64>,
}

#[derive(Debug, Options)]
pub(crate) struct ShowFlags {
    #[options(no_short, help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "name of the profile")]
    pub(crate) name: Vec<String>,
}

#[derive(Debug, Options)]
pub(crate) struct StatusFlags {
    #[options(no_short, help = "print this help")]
    pub(crate) help: bool,
}

#[derive(Debug, Options)]
pub(crate) struct DrainFlags {
    #[options(no_short, help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "name of the instance")]
    pub(crate) name: Vec<String>,
    #[options(
        no_short,
        meta = "NAME",
        help = "its service, if the name is not unique"
    )]
    pub(crate) service: Option<String>,
}

/// How long to wait for a change to be in effect; `None` without `--wait` and `--wait-ms`.
fn wait_duration(is_requested: bool, wait_ms: Option<u64>) -> Option<Duration> {
    let wait = Duration::from_millis(wait_ms.unwrap_or(DEFAULT_WAIT_MS));
    (is_requested || wait_ms.is_some()).then_some(wait)
}

impl EditFlags {
    pub(crate) fn submit_options(&self) -> SubmitOptions {
        SubmitOptions {
            change_id: self.change_id.clone(),
            expect_revision: self.expect_revision,
            wait: wait_duration(self.wait, self.wait_ms),
        }
    }
}

impl ZoneCommandFlags {
    pub(crate) fn wait_duration(&self) -> Option<Duration> {
        wait_duration(self.wait, self.wait_ms)
    }
}

impl RetireFlags {
    pub(crate) fn submit_options(&self) -> SubmitOptions {
        SubmitOptions {
            change_id: self.change_id.clone(),
            expect_revision: self.expect_revision,
            wait: wait_duration(self.wait, self.wait_ms),
        }
    }
}

impl Flags {
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS))
    }

    pub(crate) fn is_json(&self) -> Result<bool, Failure> {
        match self.output.as_deref() {
            None | Some("table") => Ok(false),
            Some("json") => Ok(true),
            Some(other) => Err(Failure::usage(format!(
                "--output is {other:?}; use table or json"
            ))),
        }
    }

    /// Addresses from the flag or from `GYARD_OPERATORS`.
    pub(crate) fn addresses(
        &self,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Vec<SocketAddr>, Failure> {
        let text = self.control_operator.clone().or(env("GYARD_OPERATORS"));
        let Some(text) = text.filter(|text| !text.is_empty()) else {
            return Err(Failure::usage(
                "name the operator ports with --control-operator IP:PORT,... or GYARD_OPERATORS",
            ));
        };
        let addresses: Result<Vec<SocketAddr>, _> =
            text.split(',').map(|part| part.trim().parse()).collect();
        addresses.map_err(|_| {
            Failure::usage(format!(
                "--control-operator (or GYARD_OPERATORS) is {text:?}; use IP:PORT, several \
                 separated by commas"
            ))
        })
    }
}

/// Moves the flags that all commands share to the front: the parser accepts them only there.
pub(crate) fn move_common_flags_first(args: Vec<String>) -> Vec<String> {
    let (mut common, mut rest) = (Vec::new(), Vec::new());
    let mut args = args.into_iter();
    while let Some(arg) = args.next() {
        let name = arg.split('=').next().unwrap_or("");
        if !COMMON_FLAGS.contains(&name) {
            rest.push(arg);
            continue;
        }
        let has_value = arg.contains('=');
        common.push(arg);
        if !has_value {
            common.extend(args.next());
        }
    }
    common.extend(rest);
    common
}

/// Returns the only positional argument; `what` describes it in errors.
pub(crate) fn single_argument<'a>(arguments: &'a [String], what: &str) -> Result<&'a str, Failure> {
    match arguments {
        [name] => Ok(name),
        [] => Err(Failure::usage(format!("give the name of the {what}"))),
        _ => Err(Failure::usage(format!("give one {what} only"))),
    }
}
