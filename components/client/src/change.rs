//! Builds profile changes from flags or a file and sends them with a change id.

use crate::{
    failure::Failure,
    operator_client::{OperatorClient, RequestError},
    options::{EditFlags, RetireFlags, SubmitOptions, single_argument},
};
use api::{ChangeOp, ChangeRequest, ChangeResponse, ProfileEntry};
use model::{FieldError, Profile, ProfileName};
use registry::ChangeId;
use std::{
    collections::hash_map::RandomState,
    fs,
    hash::{BuildHasher, Hasher},
};

fn parse_name(text: &str) -> Result<ProfileName, Failure> {
    ProfileName::parse(text).map_err(|error| Failure::usage(error.to_string()))
}

/// Parses the value of a flag whose profile field allows only certain words.
fn parse_enum_value<T: serde::de::DeserializeOwned>(
    flag: &str,
    text: &str,
    allowed: &str,
) -> Result<T, Failure> {
    serde_json::from_value(serde_json::Value::from(text))
        .map_err(|_| Failure::usage(format!("--{flag} is {text:?}; use {allowed}")))
}

fn read_file(path: &str) -> Result<Profile, Failure> {
    let text = fs::read_to_string(path)
        .map_err(|error| Failure::usage(format!("--file {path} can't be read: {error}")))?;
    Profile::from_toml(text).map_err(|error| Failure::usage(format!("--file {path}: {error}")))
}

fn validated(profile: Profile) -> Result<Profile, Failure> {
    profile.check().map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(FieldError::to_string).collect();
        Failure::usage(format!("the profile is not valid:\n{}", lines.join("\n")))
    })?;
    Ok(profile)
}

fn set_if_given<T: Copy>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

/// Applies the given flags to a profile.
fn apply_flags(flags: &EditFlags, profile: &mut Profile) -> Result<(), Failure> {
    set_if_given(&mut profile.idempotent, flags.idempotent);
    set_if_given(&mut profile.deadline_ms, flags.deadline_ms);
    set_if_given(&mut profile.attempts, flags.attempts);
    set_if_given(&mut profile.hedge.enabled, flags.hedge);
    set_if_given(
        &mut profile.hedge.quantile_percent,
        flags.hedge_quantile_percent,
    );
    set_if_given(&mut profile.hedge.max_percent, flags.hedge_max_percent);
    set_if_given(&mut profile.queue_limit, flags.queue_limit);
    set_if_given(&mut profile.probe_budget_per_s, flags.probe_budget_per_s);
    set_if_given(
        &mut profile.retry_budget_percent,
        flags.retry_budget_percent,
    );
    if let Some(text) = &flags.priority {
        profile.priority = parse_enum_value("priority", text, "low, normal or high")?;
    }
    if let Some(text) = &flags.measure {
        profile.measure = parse_enum_value("measure", text, "none, economical or fast")?;
    }
    if let Some(text) = &flags.zone_preference {
        profile.zone_preference =
            parse_enum_value("zone-preference", text, "none, prefer or local")?;
    }
    Ok(())
}

/// Reads a profile from a file and applies the flags to it. Its name must match the argument, if
/// any.
fn profile_from_file(flags: &EditFlags, path: &str) -> Result<Profile, Failure> {
    let mut profile = read_file(path)?;
    if let [name] = &flags.name[..]
        && *name != profile.name.as_str()
    {
        return Err(Failure::usage(format!(
            "--file {path} holds profile {}, but the command names {name}",
            profile.name
        )));
    }
    apply_flags(flags, &mut profile)?;
    validated(profile)
}

/// Adds a profile.
pub(crate) fn add(client: &OperatorClient, flags: &EditFlags) -> Result<ChangeResponse, Failure> {
    let profile = match &flags.file {
        Some(path) => profile_from_file(flags, path)?,
        None => {
            let name = parse_name(single_argument(&flags.name, "profile")?)?;
            let mut profile = Profile::with_defaults(name);
            apply_flags(flags, &mut profile)?;
            validated(profile)?
        }
    };
    submit(client, &flags.submit_options(), ChangeOp::Add(profile))
}

/// Changes a profile. Without a file or an expected revision, the request expects the revision that
/// was read, so that a change by another operator in between is not overwritten.
pub(crate) fn change(
    client: &OperatorClient,
    flags: &EditFlags,
) -> Result<ChangeResponse, Failure> {
    let mut submit_options = flags.submit_options();
    if let Some(path) = &flags.file {
        let profile = profile_from_file(flags, path)?;
        return submit(client, &submit_options, ChangeOp::Update(profile));
    }
    let name = parse_name(single_argument(&flags.name, "profile")?)?;
    let entry: ProfileEntry = client
        .get(&format!("/v1/profiles/{name}"))
        .map_err(RequestError::into_failure)?;
    let mut profile = entry.profile.clone();
    apply_flags(flags, &mut profile)?;
    // A resend may find its own change in effect. The control group then answers with the result
    // that it stored for the change id.
    if profile == entry.profile && submit_options.change_id.is_none() {
        return Err(Failure::usage(format!(
            "the flags change nothing in profile {name}; `gyard profile change --help` lists them"
        )));
    }
    submit_options.expect_revision.get_or_insert(entry.revision);
    submit(
        client,
        &submit_options,
        ChangeOp::Update(validated(profile)?),
    )
}

/// Retires a profile.
pub(crate) fn retire(
    client: &OperatorClient,
    flags: &RetireFlags,
) -> Result<ChangeResponse, Failure> {
    let name = parse_name(single_argument(&flags.name, "profile")?)?;
    let successor = flags.successor.as_deref().map(parse_name).transpose()?;
    let op = ChangeOp::Retire { name, successor };
    submit(client, &flags.submit_options(), op)
}

/// Generates a random change id. The standard library seeds `RandomState` from the operating
/// system.
pub(crate) fn random_id() -> ChangeId {
    let random_64_bits = || u128::from(RandomState::new().build_hasher().finish());
    ChangeId::from_u128(random_64_bits() << 64 | random_64_bits())
}

/// Sends a change with the given change id or a random one.
fn submit(
    client: &OperatorClient,
    submit_options: &SubmitOptions,
    op: ChangeOp,
) -> Result<ChangeResponse, Failure> {
    let change_id = match &submit_options.change_id {
        Some(text) => {
            ChangeId::parse(text).map_err(|error| Failure::usage(error.to_string()))?;
            text.clone()
        }
        None => random_id().to_string(),
    };
    let request = ChangeRequest {
        change_id,
        expect_revision: submit_options.expect_revision,
        op,
    };
    let error = match client.post("/v1/changes", &request) {
        Ok(answer) => return Ok(answer),
        Err(error) => error,
    };
    Err(match error {
        RequestError::NoAnswer {
            attempts,
            is_unsent: false,
        } => Failure::Unconfirmed {
            attempts,
            resend: resend_flags(&request),
        },
        other => other.into_failure(),
    })
}

/// Flags with which a resend is recognized as the same change.
fn resend_flags(request: &ChangeRequest) -> String {
    let id = &request.change_id;
    match request.expect_revision {
        Some(revision) => format!("--change-id {id} --expect-revision {revision}"),
        None => format!("--change-id {id}"),
    }
}
