//! Errors of a command and their exit codes.

use api::ErrorBody;
use model::Revision;
use serde_json::{Value, json};
use snafu::Snafu;

/// Why a command did not succeed.
#[derive(Debug, Snafu)]
pub(crate) enum Failure {
    /// The command line is wrong.
    #[snafu(display("{reason}"))]
    Usage { reason: String },
    /// The control group refused the request.
    #[snafu(display("refused ({}): {}{}\n{}", body.error, body.message, detail_suffix(&body.detail), body.advice))]
    Refused { body: Box<ErrorBody> },
    /// No replica could serve the request.
    #[snafu(display(
        "no replica of the control group could serve the request:\n{}\n\
         Check --control-operator and that a majority of the replicas run.",
        indent(attempts)
    ))]
    Unreachable { attempts: Vec<String> },
    /// The node of a route query did not answer.
    #[snafu(display(
        "the node did not answer:\n{}\n\
         Check that --node is the platform port of a running node.",
        indent(attempts)
    ))]
    NodeUnreachable { attempts: Vec<String> },
    /// A change may or may not have been accepted.
    #[snafu(display(
        "the control group did not confirm the change:\n{}\n\
         It may have been accepted. Resend the same command with {resend} to learn its result.",
        indent(attempts)
    ))]
    Unconfirmed {
        attempts: Vec<String>,
        resend: String,
    },
    /// A change is accepted but not in effect on every live node.
    #[snafu(display(
        "revision {revision} is accepted but not in effect on {}\n\
         The nodes fetch it by themselves; check them with `gyard status`.",
        lagging.join(", ")
    ))]
    NotInEffect {
        revision: Revision,
        lagging: Vec<String>,
    },
    /// The log files can't be read or don't mention the request.
    #[snafu(display("{reason}"))]
    Logs { reason: String },
    /// The output can't be written.
    #[snafu(display("the output can't be written: {reason}"))]
    Output { reason: String },
}

fn indent(attempts: &[String]) -> String {
    let lines: Vec<String> = attempts.iter().map(|line| format!("  {line}")).collect();
    lines.join("\n")
}

fn detail_suffix(text: &str) -> String {
    if text.is_empty() {
        return String::new();
    }
    format!(" {text}")
}

impl Failure {
    pub(crate) fn usage(reason: impl Into<String>) -> Self {
        Failure::Usage {
            reason: reason.into(),
        }
    }

    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Failure::Refused { .. } | Failure::Logs { .. } | Failure::Output { .. } => 1,
            Failure::Usage { .. } => 2,
            Failure::Unreachable { .. }
            | Failure::NodeUnreachable { .. }
            | Failure::Unconfirmed { .. } => 3,
            Failure::NotInEffect { .. } => 4,
        }
    }

    pub(crate) fn json(&self) -> Value {
        match self {
            Failure::Refused { body } => json!(body),
            Failure::Usage { reason } => json!({ "error": "usage", "message": reason }),
            Failure::Unreachable { attempts } | Failure::NodeUnreachable { attempts } => {
                json!({ "error": "unreachable", "message": self.to_string(), "attempts": attempts })
            }
            Failure::Unconfirmed { attempts, resend } => json!({
                "error": "unconfirmed",
                "message": self.to_string(),
                "attempts": attempts,
                "resend": resend,
            }),
            Failure::NotInEffect { revision, lagging } => json!({
                "error": "not-in-effect",
                "message": self.to_string(),
                "revision": revision,
                "lagging": lagging,
            }),
            Failure::Logs { reason } => json!({ "error": "logs", "message": reason }),
            Failure::Output { reason } => json!({ "error": "output", "message": reason }),
        }
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Failure::Output {
            reason: error.to_string(),
        }
    }
}
