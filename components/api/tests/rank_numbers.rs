//! Guards against ranks that builds with whole ones can't read, and against fractions that are lost.

use api::MatchedRouteInfo;

fn route(rank: f64) -> MatchedRouteInfo {
    MatchedRouteInfo {
        name: "swap".to_owned(),
        path_prefix: "/swap/".to_owned(),
        public: false,
        idempotent: true,
        attempts: 2,
        timeout_ms: 800,
        latency_target_ms: 200,
        rank,
    }
}

#[test]
fn whole_and_fractional() {
    for (rank, written) in [
        (0.0, "0"),
        (1.0, "1"),
        (4_294_967_295.0, "4294967295"),
        (1.5, "1.5"),
        (1e300, "1e+300"),
    ] {
        let text = serde_json::to_string(&route(rank)).unwrap();
        assert!(text.ends_with(&format!("\"rank\":{written}}}")), "{text}");
        let read: MatchedRouteInfo = serde_json::from_str(&text).unwrap();
        assert_eq!(read, route(rank));
    }
}
