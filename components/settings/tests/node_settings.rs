//! Validation of settings: an error names the flag, the rejected value and what is allowed, and
//! neither errors nor debug output contain a secret.

use settings::{ControlFlags, ControlSettings, NodeFlags, NodeSettings, SettingSource};

fn valid_flags() -> NodeFlags {
    NodeFlags {
        call_listen: Some("127.0.0.1:8080".into()),
        mesh_listen: Some("127.0.0.1:8081".into()),
        platform_listen: Some("127.0.0.1:8082".into()),
        zone: Some("tallinn-1".into()),
        ..NodeFlags::default()
    }
}

fn error_after(change: impl Fn(&mut NodeFlags)) -> String {
    let mut flags = valid_flags();
    change(&mut flags);
    NodeSettings::read(&flags, &SettingSource::new(|_| None))
        .unwrap_err()
        .to_string()
}

#[test]
fn rejected_values() {
    let errors = [
        error_after(|f| f.call_listen = None),
        error_after(|f| f.call_listen = Some("localhost:80".into())),
        error_after(|f| f.zone = Some("Zone A".into())),
        error_after(|f| f.control = Some("127.0.0.1:1,nonsense".into())),
        error_after(|f| f.max_body_bytes = Some("0".into())),
        error_after(|f| f.admission = Some("value".into())),
        error_after(|f| f.downstream_admission = Some("on".into())),
        error_after(|f| f.give_up_percent = Some("101".into())),
        error_after(|f| f.start_wait_ms = Some("60001".into())),
        error_after(|f| f.log_format = Some("xml".into())),
        error_after(|f| f.mesh_listen = Some("10.0.0.1:8081".into())),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn environment_variable_is_fallback() {
    let mut flags = valid_flags();
    flags.zone = None;
    let source =
        SettingSource::new(|name: &str| (name == "GYARD_ZONE").then(|| "izmir-2".to_owned()));
    let settings = NodeSettings::read(&flags, &source).unwrap();
    assert_eq!(settings.availability_zone.as_str(), "izmir-2");
}

#[test]
fn mesh_key_is_not_in_errors() {
    let source = SettingSource::new(|name: &str| {
        (name == "GYARD_MESH_KEY").then(|| "short-secret".to_owned())
    });
    let error = NodeSettings::read(&valid_flags(), &source)
        .unwrap_err()
        .to_string();
    assert!(!error.contains("short-secret"), "{error}");
}

/// The operator token must not reach a log line through the settings' debug output.
#[test]
fn operator_token_is_not_in_debug_output() {
    let mut flags = valid_flags();
    flags.control = Some("127.0.0.1:8081".into());
    flags.control_data_dir = Some("/tmp/x".into());
    flags.control_operator_listen = Some("127.0.0.1:8083".into());
    flags.control_replica = Some("1".into());
    let source = SettingSource::new(|name: &str| {
        (name == "GYARD_OPERATOR_TOKEN").then(|| "operator-secret".to_owned())
    });
    let settings = NodeSettings::read(&flags, &source).unwrap();
    let embedded = settings.control_replica.as_ref().unwrap();
    assert_eq!(embedded.operator_token.as_deref(), Some("operator-secret"));
    assert!(!format!("{settings:?}").contains("operator-secret"));
}

#[test]
fn replica_number_outside_group_is_rejected() {
    let flags = ControlFlags {
        listen: Some("127.0.0.1:1".into()),
        operator_listen: Some("127.0.0.1:2".into()),
        data_dir: Some("/tmp/x".into()),
        replica: Some("4".into()),
        group: Some("127.0.0.1:1,127.0.0.1:3,127.0.0.1:4".into()),
        zone: Some("a".into()),
        ..ControlFlags::default()
    };
    let error = ControlSettings::read(&flags, &SettingSource::new(|_| None))
        .err()
        .unwrap()
        .to_string();
    assert!(error.contains("--replica"), "{error}");
}
