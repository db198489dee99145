//! Guards that a bad setting is refused at the start with the flag, the value and what is allowed.

use settings::{ControlFlags, ControlSettings, NodeFlags, NodeSettings, SettingSource};

fn complete() -> NodeFlags {
    NodeFlags {
        call_listen: Some("127.0.0.1:8080".into()),
        mesh_listen: Some("127.0.0.1:8081".into()),
        platform_listen: Some("127.0.0.1:8082".into()),
        zone: Some("tallinn-1".into()),
        ..NodeFlags::default()
    }
}

fn error_of(change: impl Fn(&mut NodeFlags)) -> String {
    let mut flags = complete();
    change(&mut flags);
    NodeSettings::read(&flags, &SettingSource::new(|_| None))
        .unwrap_err()
        .to_string()
}

#[test]
fn refused_values() {
    let errors = [
        error_of(|f| f.call_listen = None),
        error_of(|f| f.call_listen = Some("localhost:80".into())),
        error_of(|f| f.zone = Some("Zone A".into())),
        error_of(|f| f.control = Some("127.0.0.1:1,nonsense".into())),
        error_of(|f| f.max_body_bytes = Some("0".into())),
        error_of(|f| f.log_format = Some("xml".into())),
        error_of(|f| f.mesh_listen = Some("10.0.0.1:8081".into())),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn variable_fallback() {
    let mut flags = complete();
    flags.zone = None;
    let source =
        SettingSource::new(|name: &str| (name == "GYARD_ZONE").then(|| "izmir-2".to_owned()));
    let settings = NodeSettings::read(&flags, &source).unwrap();
    assert_eq!(settings.availability_zone.as_str(), "izmir-2");
}

#[test]
fn hidden_key() {
    let source = SettingSource::new(|name: &str| {
        (name == "GYARD_MESH_KEY").then(|| "short-secret".to_owned())
    });
    let error = NodeSettings::read(&complete(), &source)
        .unwrap_err()
        .to_string();
    assert!(!error.contains("short-secret"), "{error}");
}

/// The operator token must not reach a log line through the settings' debug form.
#[test]
fn hidden_token() {
    let mut flags = complete();
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
fn replica_number() {
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
