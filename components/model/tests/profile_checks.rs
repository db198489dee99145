//! Guards against profiles and names that are accepted although they are invalid.

use model::{Profile, ProfileName};

fn profile(toml: &str) -> Profile {
    Profile::from_toml(toml).expect("valid TOML")
}

#[test]
fn bad_fields() {
    let bad = profile(
        "name = \"browse\"\ndeadline_ms = 0\nattempts = 11\nqueue_limit = 20000\n\
         retry_budget_percent = 101\n[hedge]\nenabled = true\nquantile_percent = 10\n",
    );
    let lines: Vec<String> = bad
        .check()
        .unwrap_err()
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    deadline_ms: 0 is out of range; allowed are 1 to 3600000
    attempts: 11 is out of range; allowed are 1 to 10
    queue_limit: 20000 is out of range; allowed are 0 to 10000
    retry_budget_percent: 101 is out of range; allowed are 0 to 100
    hedge.quantile_percent: 10 is out of range; allowed are 50 to 99
    hedge.enabled: hedging runs a call twice; set idempotent = true first
    "#);
}

#[test]
fn contradicting_fields() {
    let bad = profile("name = \"a\"\nmeasure = \"fast\"\nprobe_budget_per_s = 0\n");
    assert_eq!(bad.check().unwrap_err()[0].field, "probe_budget_per_s");
}

#[test]
fn unknown_field() {
    let error = Profile::from_toml("name = \"a\"\ndeadline = 5\n").unwrap_err();
    assert!(
        error.to_string().contains("unknown field `deadline`"),
        "{error}"
    );
}

#[test]
fn default_profile() {
    let name = ProfileName::parse("plain").unwrap();
    assert!(Profile::with_defaults(name).check().is_ok());
}

#[test]
fn rejected_names() {
    for text in ["", "-a", "Upper", "a b", &"x".repeat(64)] {
        assert!(ProfileName::parse(text).is_err(), "{text:?} was accepted");
    }
}
