//! Options of `gyard-bench policy`, and the settings of a simulation that follow from them.

use gumdrop::Options;
use limits::AdmissionOrder;

/// Options of `gyard-bench policy`.
#[derive(Clone, Debug, Options)]
pub struct PolicyArgs {
    /// Print the options.
    #[options(help = "print the options")]
    pub help: bool,
    /// Seeds as a range `1-20` or a list `1,5,9`.
    #[options(meta = "LIST", default = "1-20", help = "seeds, as 1-20 or 1,5,9")]
    pub seeds: String,
    /// Simulated seconds per run.
    #[options(meta = "N", default = "10", help = "simulated seconds per run")]
    pub seconds: u32,
    /// Loads in percent of all slots.
    #[options(
        meta = "LIST",
        default = "50,75,90",
        help = "loads in percent of the slots"
    )]
    pub loads: String,
    /// Scenarios by name; all if empty.
    #[options(meta = "LIST", default = "", help = "scenarios by name; all if absent")]
    pub scenarios: String,
    /// Policies by name; all if empty.
    #[options(meta = "LIST", default = "", help = "policies by name; all if absent")]
    pub policies: String,
    /// Probe messages that an entry may send in any one second.
    #[options(
        meta = "N",
        default = "500",
        help = "measuring messages per second and entry"
    )]
    pub probe_budget: u32,
    /// Hedged calls of the router's policies in percent, 0 to switch hedging off.
    #[options(
        meta = "N",
        default = "5",
        help = "hedged calls of our policy in percent"
    )]
    pub hedge_percent: u8,
    /// Latency quantile after which the router's policies hedge, in percent.
    #[options(
        meta = "N",
        default = "95",
        help = "latency quantile before a hedge in percent"
    )]
    pub hedge_quantile: u8,
    /// Lets calls wait at the first owner until their deadline. Without it, an owner refuses a call
    /// after the longest queue wait that the router chose, and the entry tries another owner.
    #[options(
        no_short,
        help = "let calls wait at the first owner until their deadline"
    )]
    pub no_patience: bool,
    /// Kinds of disturbances: `noisy`, `drain`, `fail` and `lie`, or `none`.
    #[options(
        no_short,
        meta = "LIST",
        default = "noisy,drain,fail,lie",
        help = "disturbances"
    )]
    pub disturb: String,
    /// File for the plot of p99 per policy.
    #[options(meta = "FILE", help = "write a plot of p99 per policy as SVG")]
    pub plot: Option<String>,
    /// Order of the calls that wait at an owner, `deadline` or `cost`.
    #[options(
        no_short,
        meta = "ORDER",
        default = "deadline",
        help = "order of waiting calls, deadline or cost"
    )]
    pub admission: String,
    /// Output format, `text` or `json`.
    #[options(meta = "FORMAT", default = "text", help = "text or json")]
    pub output: String,
}

/// Settings of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) probe_budget_per_s: u32,
    pub(crate) retry_percent: u8,
    pub(crate) hedge_percent: u8,
    pub(crate) hedge_quantile: u8,
    /// Whether owners refuse calls after the longest queue wait that the router chose.
    pub(crate) limit_queue_wait: bool,
    pub(crate) queue_limit: u32,
    pub(crate) deadline_us: u64,
    pub(crate) order: AdmissionOrder,
}

impl Settings {
    /// Settings from the options, and the defaults of a profile for the rest.
    pub(crate) fn new(args: &PolicyArgs) -> Self {
        Settings {
            probe_budget_per_s: args.probe_budget,
            retry_percent: 10,
            hedge_percent: args.hedge_percent,
            hedge_quantile: args.hedge_quantile,
            limit_queue_wait: !args.no_patience,
            queue_limit: 64,
            deadline_us: 1_000_000,
            order: args.admission.parse().unwrap_or_default(),
        }
    }
}
