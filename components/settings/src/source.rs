//! Reads settings from flags and environment variables; errors name both.

use snafu::Snafu;
use std::{fmt, fs, net::SocketAddr, path::Path, str::FromStr};

const MESH_KEY_BYTES: usize = 32;
/// Shortest text of a mesh key in characters, so that a single word is rejected.
const MIN_MESH_KEY_CHARS: usize = 16;

/// A setting that is missing, invalid or unreadable.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SettingError {
    /// A required setting was not given.
    #[snafu(display("--{flag} (or {variable}) is required; allowed: {allowed}"))]
    Missing {
        /// Name of the flag, without dashes.
        flag: String,
        /// Name of the environment variable.
        variable: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// The value is not allowed.
    #[snafu(display("--{flag} (or {variable}) is {value:?}; allowed: {allowed}"))]
    Invalid {
        /// Name of the flag, without dashes.
        flag: String,
        /// Name of the environment variable.
        variable: String,
        /// The rejected value; `(hidden)` for a mesh key.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// The file that a setting names can't be read.
    #[snafu(display("--{flag}: {path} can't be read: {reason}"))]
    Unreadable {
        /// Name of the flag, without dashes.
        flag: String,
        /// Path that the setting names.
        path: String,
        /// Error of the operating system.
        reason: String,
    },
}

/// Key that all processes of a deployment share; the mesh refuses processes with another key.
#[derive(Clone, PartialEq, Eq)]
pub struct MeshKey(pub [u8; MESH_KEY_BYTES]);

impl fmt::Debug for MeshKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MeshKey(hidden)")
    }
}

/// Looks up settings: first the flag, then the variable `GYARD_<FLAG>`.
pub struct SettingSource<E> {
    env: E,
}

impl<E: Fn(&str) -> Option<String>> SettingSource<E> {
    /// Looks up variables with `env`; tests pass a closure that does not read the environment.
    pub fn new(env: E) -> Self {
        SettingSource { env }
    }

    /// The text of a setting, if it was given.
    pub fn text(&self, flag: &str, value: Option<&str>) -> Option<String> {
        match value {
            Some(text) => Some(text.to_owned()),
            None => (self.env)(&variable_name(flag)).filter(|text| !text.is_empty()),
        }
    }

    /// Parses a setting; an error if neither the flag nor the variable is given.
    pub fn required<T: FromStr>(
        &self,
        flag: &str,
        value: Option<&str>,
        allowed: &str,
    ) -> Result<T, SettingError> {
        match self.optional(flag, value, allowed)? {
            Some(parsed) => Ok(parsed),
            None => Err(SettingError::Missing {
                flag: flag.to_owned(),
                variable: variable_name(flag),
                allowed: allowed.to_owned(),
            }),
        }
    }

    /// Parses a setting; `None` if neither the flag nor the variable is given.
    pub fn optional<T: FromStr>(
        &self,
        flag: &str,
        value: Option<&str>,
        allowed: &str,
    ) -> Result<Option<T>, SettingError> {
        let Some(text) = self.text(flag, value) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(parsed) => Ok(Some(parsed)),
            Err(_) => Err(invalid_setting(flag, &text, allowed)),
        }
    }

    /// An integer setting with a default and inclusive bounds.
    pub fn number(
        &self,
        flag: &str,
        value: Option<&str>,
        default: u64,
        min: u64,
        max: u64,
    ) -> Result<u64, SettingError> {
        let allowed = format!("a whole number from {min} to {max}");
        let number = self.optional(flag, value, &allowed)?.unwrap_or(default);
        if (min..=max).contains(&number) {
            return Ok(number);
        }
        Err(invalid_setting(flag, &number.to_string(), &allowed))
    }

    /// A comma-separated list of addresses; empty if not given.
    pub fn addresses(
        &self,
        flag: &str,
        value: Option<&str>,
    ) -> Result<Vec<SocketAddr>, SettingError> {
        let Some(text) = self.text(flag, value) else {
            return Ok(Vec::new());
        };
        text.split(',')
            .map(|part| part.trim().parse())
            .collect::<Result<_, _>>()
            .map_err(|_| invalid_setting(flag, &text, "IP:PORT, several separated by commas"))
    }

    /// The mesh key from a file or from `GYARD_MESH_KEY`. If the mesh listens on loopback, the key
    /// may be left out and is all zeros.
    pub fn mesh_key(
        &self,
        file: Option<&str>,
        mesh_listen: SocketAddr,
    ) -> Result<MeshKey, SettingError> {
        let text = match self.text("mesh-key-file", file) {
            Some(path) => read_key_file(Path::new(&path))?,
            None => match (self.env)("GYARD_MESH_KEY") {
                Some(text) => text,
                None if mesh_listen.ip().is_loopback() => return Ok(MeshKey([0; MESH_KEY_BYTES])),
                None => {
                    return Err(SettingError::Missing {
                        flag: "mesh-key-file".to_owned(),
                        variable: "GYARD_MESH_KEY".to_owned(),
                        allowed: "16 or more characters, the same on all processes".to_owned(),
                    });
                }
            },
        };
        derive_mesh_key(text.trim())
    }
}

/// Name of the environment variable of a flag.
fn variable_name(flag: &str) -> String {
    format!("GYARD_{}", flag.replace('-', "_").to_uppercase())
}

pub(crate) fn invalid_setting(flag: &str, value: &str, allowed: &str) -> SettingError {
    SettingError::Invalid {
        flag: flag.to_owned(),
        variable: variable_name(flag),
        value: value.to_owned(),
        allowed: allowed.to_owned(),
    }
}

fn read_key_file(path: &Path) -> Result<String, SettingError> {
    fs::read_to_string(path).map_err(|error| SettingError::Unreadable {
        flag: "mesh-key-file".to_owned(),
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}

/// Derives the key from its text. Errors never contain the text.
fn derive_mesh_key(text: &str) -> Result<MeshKey, SettingError> {
    if text.chars().count() < MIN_MESH_KEY_CHARS {
        return Err(SettingError::Invalid {
            flag: "mesh-key-file".to_owned(),
            variable: "GYARD_MESH_KEY".to_owned(),
            value: "(hidden)".to_owned(),
            allowed: "16 or more characters, the same on all processes".to_owned(),
        });
    }
    Ok(MeshKey(blake3::derive_key(
        "geraniumyard mesh key v1",
        text.as_bytes(),
    )))
}
