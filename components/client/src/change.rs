//! Changes of profiles: built from flags or a file, sent under one change id.

use crate::{
    failure::Failure,
    operators::{Failed, Operators},
    options::{EditFlags, RetireFlags, Submission, single},
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

/// Parses one of the words that a profile field allows.
fn parse_word<T: serde::de::DeserializeOwned>(
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

fn check(profile: Profile) -> Result<Profile, Failure> {
    profile.check().map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(FieldError::to_string).collect();
        Failure::usage(format!("the profile is not valid:\n{}", lines.join("\n")))
    })?;
    Ok(profile)
}

fn set<T: Copy>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

/// Applies the given flags to a profile.
fn apply(flags: &EditFlags, profile: &mut Profile) -> Result<(), Failure> {
    set(&mut profile.idempotent, flags.idempotent);
    set(&mut profile.deadline_ms, flags.deadline_ms);
    set(&mut profile.attempts, flags.attempts);
    set(&mut profile.hedge.enabled, flags.hedge);
    set(
        &mut profile.hedge.quantile_percent,
        flags.hedge_quantile_percent,
    );
    set(&mut profile.hedge.max_percent, flags.hedge_max_percent);
    set(&mut profile.queue_limit, flags.queue_limit);
    set(&mut profile.probe_budget_per_s, flags.probe_budget_per_s);
    set(
        &mut profile.retry_budget_percent,
        flags.retry_budget_percent,
    );
    if let Some(text) = &flags.priority {
        profile.priority = parse_word("priority", text, "low, normal or high")?;
    }
    if let Some(text) = &flags.measure {
        profile.measure = parse_word("measure", text, "none, economical or fast")?;
    }
    if let Some(text) = &flags.zone_preference {
        profile.zone_preference = parse_word("zone-preference", text, "none, prefer or local")?;
    }
    Ok(())
}

/// The profile of a file with the flags on top; its name is checked against the argument.
fn from_file(flags: &EditFlags, path: &str) -> Result<Profile, Failure> {
    let mut profile = read_file(path)?;
    if let [name] = &flags.name[..]
        && *name != profile.name.as_str()
    {
        return Err(Failure::usage(format!(
            "--file {path} holds profile {}, but the command names {name}",
            profile.name
        )));
    }
    apply(flags, &mut profile)?;
    check(profile)
}

/// Sends the profile to add.
pub(crate) fn add(operators: &Operators, flags: &EditFlags) -> Result<ChangeResponse, Failure> {
    let profile = match &flags.file {
        Some(path) => from_file(flags, path)?,
        None => {
            let name = parse_name(single(&flags.name, "profile")?)?;
            let mut profile = Profile::with_defaults(name);
            apply(flags, &mut profile)?;
            check(profile)?
        }
    };
    submit(operators, &flags.submission(), ChangeOp::Add(profile))
}

/// Sends the changed profile. Without a file or an expected revision, the revision that was read
/// is expected, so that a change by another operator in between is not overwritten.
pub(crate) fn change(operators: &Operators, flags: &EditFlags) -> Result<ChangeResponse, Failure> {
    let mut submission = flags.submission();
    if let Some(path) = &flags.file {
        let profile = from_file(flags, path)?;
        return submit(operators, &submission, ChangeOp::Update(profile));
    }
    let name = parse_name(single(&flags.name, "profile")?)?;
    let entry: ProfileEntry = operators
        .get(&format!("/v1/profiles/{name}"))
        .map_err(Failed::of_read)?;
    let mut profile = entry.profile.clone();
    apply(flags, &mut profile)?;
    // A resend finds its own change in effect; the answer to its id tells what became of it.
    if profile == entry.profile && submission.change_id.is_none() {
        return Err(Failure::usage(format!(
            "the flags change nothing in profile {name}; `gyard profile change --help` lists them"
        )));
    }
    submission.expect_revision.get_or_insert(entry.revision);
    submit(operators, &submission, ChangeOp::Update(check(profile)?))
}

/// Sends the retirement.
pub(crate) fn retire(
    operators: &Operators,
    flags: &RetireFlags,
) -> Result<ChangeResponse, Failure> {
    let name = parse_name(single(&flags.name, "profile")?)?;
    let successor = flags.successor.as_deref().map(parse_name).transpose()?;
    let op = ChangeOp::Retire { name, successor };
    submit(operators, &flags.submission(), op)
}

/// A random change id. The standard library's hash keys come from the operating system.
fn random_id() -> ChangeId {
    let draw = || u128::from(RandomState::new().build_hasher().finish());
    ChangeId::from_u128(draw() << 64 | draw())
}

fn submit(
    operators: &Operators,
    submission: &Submission,
    op: ChangeOp,
) -> Result<ChangeResponse, Failure> {
    let change_id = match &submission.change_id {
        Some(text) => {
            ChangeId::parse(text).map_err(|error| Failure::usage(error.to_string()))?;
            text.clone()
        }
        None => random_id().to_string(),
    };
    let request = ChangeRequest {
        change_id,
        expect_revision: submission.expect_revision,
        op,
    };
    let failed = match operators.post("/v1/changes", &request) {
        Ok(answer) => return Ok(answer),
        Err(failed) => failed,
    };
    Err(match failed {
        Failed::NoAnswer {
            attempts,
            is_unsent: false,
        } => Failure::Unconfirmed {
            attempts,
            resend: resend_flags(&request),
        },
        other => other.of_read(),
    })
}

/// Flags that make a resend the same change.
fn resend_flags(request: &ChangeRequest) -> String {
    let id = &request.change_id;
    match request.expect_revision {
        Some(revision) => format!("--change-id {id} --expect-revision {revision}"),
        None => format!("--change-id {id}"),
    }
}
