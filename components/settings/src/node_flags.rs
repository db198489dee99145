//! Flags of `gyard-node`.

use gumdrop::Options;

/// Flags of `gyard-node`; each has a variable `GYARD_<FLAG>`.
#[derive(Clone, Debug, Default, Options)]
pub struct NodeFlags {
    /// Print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the version instead of starting.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Listen address for callers, HTTP/1.1.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "listen address for callers, HTTP/1.1"
    )]
    pub call_listen: Option<String>,
    /// Address for other processes of the system.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "listen address for other nodes, TCP and UDP"
    )]
    pub mesh_listen: Option<String>,
    /// Address for the local instance, and for metrics and the state of the node.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "listen address for the local instance"
    )]
    pub platform_listen: Option<String>,
    /// Availability zone of the host.
    #[options(no_short, meta = "NAME", help = "availability zone of this host")]
    pub zone: Option<String>,
    /// Region of the host.
    #[options(
        no_short,
        meta = "NAME",
        help = "region of this host (default: default)"
    )]
    pub region: Option<String>,
    /// Mesh addresses of the control replicas.
    #[options(
        no_short,
        meta = "IP:PORT,...",
        help = "mesh addresses of the control replicas"
    )]
    pub control: Option<String>,
    /// Mesh addresses of the nodes that gossip contacts first.
    #[options(
        no_short,
        meta = "IP:PORT,...",
        help = "mesh addresses of first contacts"
    )]
    pub peers: Option<String>,
    /// Name of the host; derived from `mesh_listen` if absent.
    #[options(no_short, meta = "NAME", help = "name of this host")]
    pub host_name: Option<String>,
    /// Lowest level that is logged.
    #[options(
        no_short,
        meta = "LEVEL",
        help = "off, error, warn, info, debug or trace"
    )]
    pub log_level: Option<String>,
    /// Format of log lines, `text` or `json`.
    #[options(no_short, meta = "FORMAT", help = "text or json")]
    pub log_format: Option<String>,
    /// Share of routing decisions that are logged.
    #[options(
        no_short,
        meta = "PERCENT",
        help = "share of routing decisions to log; refusals and retries always (default: 100)"
    )]
    pub decision_log_percent: Option<String>,
    /// File with the key of the deployment.
    #[options(
        no_short,
        meta = "FILE",
        help = "file with the mesh key of the deployment"
    )]
    pub mesh_key_file: Option<String>,
    /// Largest request body in bytes.
    #[options(no_short, meta = "BYTES", help = "largest request body")]
    pub max_body_bytes: Option<String>,
    /// Largest response body in bytes that is accepted from the local instance.
    #[options(
        no_short,
        meta = "BYTES",
        help = "largest response body of the instance"
    )]
    pub max_response_bytes: Option<String>,
    /// Most connections from callers at once.
    #[options(no_short, meta = "N", help = "most caller connections")]
    pub max_connections: Option<String>,
    /// Most connections of one address.
    #[options(
        no_short,
        meta = "N",
        help = "most caller connections of one address (default: 1000)"
    )]
    pub max_connections_per_address: Option<String>,
    /// Memory for requests and unread responses.
    #[options(
        no_short,
        meta = "BYTES",
        help = "memory for requests and unread responses (default: a third of the host's)"
    )]
    pub memory_budget_bytes: Option<String>,
    /// Most probe messages per second of this node.
    #[options(
        no_short,
        meta = "N",
        help = "most probe messages per second of this node"
    )]
    pub probe_budget_per_s: Option<String>,
    /// Most probe bytes per second of this node.
    #[options(
        no_short,
        meta = "BYTES",
        help = "most probe bytes per second of this node"
    )]
    pub probe_budget_bytes_per_s: Option<String>,
    /// Lease of the local instance's announcement in milliseconds.
    #[options(
        no_short,
        meta = "MS",
        help = "lease of the local instance's announcement"
    )]
    pub lease_ms: Option<String>,
    /// Longest wait for calls in flight at a stop, in milliseconds.
    #[options(
        no_short,
        meta = "MS",
        help = "longest wait for calls in flight at a stop"
    )]
    pub stop_timeout_ms: Option<String>,
    /// Whether calls need a configuration.
    #[options(
        no_short,
        meta = "BOOL",
        help = "refuse calls until there is a configuration (default: false)"
    )]
    pub require_configuration: Option<String>,
    /// Service of the instance beside this node.
    #[options(
        no_short,
        meta = "NAME",
        help = "service of the instance beside this node, before it announces itself"
    )]
    pub service: Option<String>,
    /// Zone preference of routed calls.
    #[options(
        no_short,
        meta = "none|prefer|local",
        help = "zone preference of calls that a route matches (default: prefer)"
    )]
    pub route_zone_preference: Option<String>,
    /// Retries per thousand calls of a service.
    #[options(
        no_short,
        meta = "N",
        help = "retries per thousand calls of a service, over all nodes (default: by profile)"
    )]
    pub service_retries_per_mille: Option<String>,
    /// Additional retries of a service in each window.
    #[options(
        no_short,
        meta = "N",
        help = "retries of a service besides, in each window, over all nodes (default: 0)"
    )]
    pub service_retry_slack: Option<String>,
    /// Window of the retry budget of services.
    #[options(
        no_short,
        meta = "MS",
        help = "window of the retry budget of services (default: 10000)"
    )]
    pub service_retry_window_ms: Option<String>,
    /// Limit of free moves of a call; a move sends it to another owner after one refused it.
    #[options(
        no_short,
        meta = "N",
        help = "most owners that may refuse a call for want of room without using up an attempt (default: 0)"
    )]
    pub moves: Option<String>,
    /// Share of an instance's slots that may be used at once.
    #[options(
        no_short,
        meta = "PERCENT",
        help = "share of an instance's slots that are used at once (default: 100)"
    )]
    pub usable_slots_percent: Option<String>,
    /// Most health checks of the local instance per second.
    #[options(
        no_short,
        meta = "N",
        help = "most health checks of the local instance per second (default: 0)"
    )]
    pub health_checks_per_s: Option<String>,
    /// Time between the stop signal and the first refused call.
    #[options(
        no_short,
        meta = "MS",
        help = "time for which a stopping node still takes calls (default: 0)"
    )]
    pub stop_notice_ms: Option<String>,
    /// Time after its revocation within which a key is still accepted.
    #[options(
        no_short,
        meta = "MS",
        help = "strict revocation: accept no key this long after its revocation (default: not strict)"
    )]
    pub revocation_ms: Option<String>,
    /// Data directory of a control replica inside this node.
    #[options(
        no_short,
        meta = "DIR",
        help = "run a control replica in this node, with this data"
    )]
    pub control_data_dir: Option<String>,
    /// Operator address of the control replica inside this node.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "operator address of the embedded replica"
    )]
    pub control_operator_listen: Option<String>,
    /// Number of the control replica inside this node.
    #[options(no_short, meta = "N", help = "number of the embedded replica")]
    pub control_replica: Option<String>,
    /// Calls beyond the rate of a cold instance, in percent of that rate.
    #[options(
        no_short,
        meta = "PERCENT",
        help = "calls to a cold instance beyond its rate, in percent of that rate (default: 25)"
    )]
    pub cold_overage_percent: Option<String>,
    /// Additional calls to a cold instance in each second.
    #[options(
        no_short,
        meta = "N",
        help = "additional calls to a cold instance in each second (default: 4)"
    )]
    pub cold_slack: Option<String>,
    /// Whether lost work takes slots of the local instance.
    #[options(
        no_short,
        meta = "BOOL",
        help = "count work whose answer won't come as running at the instance (default: false)"
    )]
    pub count_lost_work: Option<String>,
    /// Share of the answered calls that may be given up early.
    #[options(
        no_short,
        meta = "PERCENT",
        help = "share of calls given up early if the instance leaves them unanswered (default: 0)"
    )]
    pub give_up_percent: Option<String>,
    /// Order of the calls that wait for the local instance.
    #[options(
        no_short,
        meta = "ORDER",
        help = "order of waiting calls, deadline or cost (default: deadline)"
    )]
    pub admission: Option<String>,
    /// Whether calls are refused whose own calls would find no capacity.
    #[options(
        no_short,
        meta = "BOOL",
        help = "refuse calls for which the instance calls a service without capacity (default: false)"
    )]
    pub downstream_admission: Option<String>,
    /// Time after the start in which calls wait for the configuration, in milliseconds.
    #[options(
        no_short,
        meta = "MS",
        help = "time after the start in which calls wait for the configuration (default: 0)"
    )]
    pub start_wait_ms: Option<String>,
}
