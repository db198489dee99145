//! Guards against route queries with a mistake that are answered as if they asked something else, and
//! against errors that don't name the parameter.

use super::parse_query;

#[test]
fn mistakes_are_named() {
    for (parameters, expected) in [
        ("", "host is missing"),
        ("?host=h", "path is missing"),
        ("?host=&path=/", "host has 0 bytes"),
        ("?host=a%20b&path=/", "host is \"a b\""),
        ("?host=h&path=items", "path is \"items\""),
        ("?host=h&path=/a%0d%0ab", "path is"),
        ("?host=h&path=/&method=G%20T", "method is \"G T\""),
        ("?host=h&path=/&rank=-1", "rank is \"-1\""),
        ("?host=h&path=/&rank=4294967296", "rank is"),
        ("?host=h&path=/&customer=", "customer has 0 bytes"),
        ("?host=h&path=/&host=g", "host is given twice"),
        ("?host=h&path=/&key=secret", "\"key\" is unknown"),
    ] {
        let error = parse_query(&format!("/v1/route{parameters}")).unwrap_err();
        assert!(error.contains(expected), "{parameters}: {error}");
    }
}

#[test]
fn values_are_decoded() {
    let query = parse_query(
        "/v1/route?host=shop.example%3A80&path=%2Fitems%3Fid%3D7&customer=a+b&rank=3&method=POST",
    )
    .unwrap();
    assert_eq!(query.host, "shop.example:80");
    assert_eq!(query.path, "/items?id=7");
    assert_eq!(query.method, "POST");
    assert_eq!(query.customer.as_deref(), Some("a b"));
    assert_eq!(query.rank, Some(3));
    let query = parse_query("/v1/route?host=h&path=/").unwrap();
    assert_eq!(
        (query.method.as_str(), query.customer, query.rank),
        ("GET", None, None)
    );
}
