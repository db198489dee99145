//! Validated names of services, profiles, zones, regions, hosts and upstreams, as shared immutable
//! strings.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::{borrow::Borrow, fmt, sync::Arc};

/// Longest name in bytes. This is the limit of a DNS label, so that a service name fits into the
/// first label of the `Host` header.
const MAX_NAME_BYTES: usize = 63;

/// Error for a text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{kind} {value:?} is not allowed; use 1 to 63 characters of a-z, 0-9, '-', '_' and '.', \
     starting with a letter or digit"
))]
pub struct NameError {
    /// Kind of the name, for the message.
    pub kind: &'static str,
    /// The rejected text.
    pub value: String,
}

fn is_allowed(text: &str) -> bool {
    let first_is_alphanumeric = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    first_is_alphanumeric
        && text.len() <= MAX_NAME_BYTES
        && text
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` and makes a name of it.
            pub fn parse(text: impl AsRef<str>) -> Result<Self, NameError> {
                let text = text.as_ref();
                if !is_allowed(text) {
                    return Err(NameError { kind: $kind, value: text.to_owned() });
                }
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::parse(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::parse(text)
            }
        }
    };
}

name_type!(
    /// Name of a service, as callers use it.
    ServiceName,
    "service name"
);
name_type!(
    /// Name of a profile, as operators use it.
    ProfileName,
    "profile name"
);
name_type!(
    /// Name of an availability zone, from the settings of a process.
    AvailabilityZone,
    "availability zone"
);
name_type!(
    /// Name of a region, from the settings of a process. A region contains one or more availability
    /// zones.
    Region,
    "region"
);
name_type!(
    /// Name of a host, from the settings of a process.
    HostName,
    "host name"
);
name_type!(
    /// Name of an upstream, which is an instance of a service, as it announces itself.
    UpstreamName,
    "instance name"
);
