//! The command `gyard-bench upstream`.

use super::{AnnouncedRule, ServiceTime, Upstream, UpstreamConfig, control};
use crate::options::{parse_rule, wait_for_signal};
use gumdrop::Options;
use std::net::SocketAddr;

#[derive(Debug, Options)]
struct UpstreamOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "service to announce", default = "catalogue")]
    service: String,
    #[options(no_short, help = "name of the instance", default = "catalogue-1")]
    name: String,
    #[options(
        no_short,
        help = "address to serve",
        meta = "IP:PORT",
        default = "127.0.0.1:0"
    )]
    listen: String,
    #[options(
        no_short,
        help = "platform port of the node beside it",
        meta = "IP:PORT"
    )]
    node: Option<SocketAddr>,
    #[options(no_short, help = "calls that run at once", default = "6")]
    slots: u32,
    #[options(no_short, help = "connections accepted at once", default = "260")]
    connections: u32,
    #[options(no_short, help = "service time in microseconds", default = "2000")]
    service_us: u64,
    #[options(no_short, help = "draw service times from an exponential distribution")]
    exponential: bool,
    #[options(no_short, help = "body length of a response", default = "200")]
    response_bytes: usize,
    #[options(no_short, help = "profile without a rule", default = "default")]
    profile: String,
    #[options(
        no_short,
        help = "rule from method (or *) and path to profile",
        meta = "METHOD:PATH=PROFILE"
    )]
    rule: Vec<String>,
    #[options(no_short, help = "length of the cold start", default = "0")]
    cold_start_ms: u64,
    #[options(
        no_short,
        help = "time that a crash lasts, 0 for ever",
        default = "500"
    )]
    restart_after_ms: u64,
    #[options(no_short, help = "seed of the service times", default = "1")]
    seed: u64,
}

/// `gyard-bench upstream`: serves until SIGINT or SIGTERM, then prints switches and counters as
/// JSON.
pub fn main(args: &[String]) -> i32 {
    let options = match UpstreamOptions::parse_args_default(args) {
        Ok(options) if options.help => {
            println!("{}", UpstreamOptions::usage());
            return 0;
        }
        Ok(options) => options,
        Err(error) => {
            eprintln!("upstream: {error}\n\n{}", UpstreamOptions::usage());
            return 2;
        }
    };
    let config = match options.config() {
        Ok(config) => config,
        Err(error) => {
            eprintln!("upstream: {error}");
            return 2;
        }
    };
    let upstream = match Upstream::start(config) {
        Ok(upstream) => upstream,
        Err(error) => {
            eprintln!("upstream: {error}");
            return 1;
        }
    };
    println!("listening on {}", upstream.address());
    if let Err(error) = wait_for_signal() {
        eprintln!("upstream: signals can't be handled: {error}");
        return 1;
    }
    upstream.stop();
    println!("{}", control::status_json(&upstream.shared));
    0
}

impl UpstreamOptions {
    fn config(self) -> Result<UpstreamConfig, String> {
        let listen = self
            .listen
            .parse()
            .map_err(|_| format!("--listen {}: IP:PORT is expected", self.listen))?;
        let rules: Result<Vec<AnnouncedRule>, String> =
            self.rule.iter().map(|text| parse_rule(text)).collect();
        let service_time = if self.exponential {
            ServiceTime::Exponential {
                mean_us: self.service_us,
            }
        } else {
            ServiceTime::Fixed {
                us: self.service_us,
            }
        };
        Ok(UpstreamConfig {
            service: self.service,
            name: self.name,
            listen,
            slots: self.slots,
            connections: self.connections,
            service_time,
            response_bytes: self.response_bytes,
            node: self.node,
            default_profile: self.profile,
            rules: rules?,
            cold_start_ms: self.cold_start_ms,
            restart_after_ms: self.restart_after_ms,
            seed: self.seed,
            ..UpstreamConfig::default()
        })
    }
}
