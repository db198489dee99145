//! Runs one command.

use crate::{
    change,
    explain::Story,
    failure::Failure,
    operators::{Failed, Operators},
    options::{
        Command, DrainFlags, ExplainFlags, Flags, ProfileCommand, Submission, hoist_common, single,
    },
    output, wait,
};
use api::{ChangeResponse, DrainRequest, ProfileEntry, ProfileList, Status};
use gumdrop::{Options, ParsingStyle};
use model::{ServiceName, UpstreamName};
use serde::Serialize;
use serde_json::{Value, json};
use std::{
    io::{self, Write},
    process::ExitCode,
};

/// Where the results of a command go.
struct Console<'a> {
    out: &'a mut dyn Write,
    is_json: bool,
}

impl Console<'_> {
    /// Writes a result as JSON or by `human`.
    fn show<T: Serialize>(
        &mut self,
        value: &T,
        human: impl FnOnce(&mut dyn Write, &T) -> io::Result<()>,
    ) -> Result<(), Failure> {
        if self.is_json {
            let text = serde_json::to_string_pretty(value).expect("plain data encodes");
            writeln!(self.out, "{text}")?;
            return Ok(());
        }
        Ok(human(self.out, value)?)
    }
}

/// Runs the command in `args` (without the program name). Results go to `out`, errors to `err`;
/// with `--output json` errors go to `out` as JSON as well.
pub fn run(
    args: impl IntoIterator<Item = String>,
    env: impl Fn(&str) -> Option<String>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> ExitCode {
    let args = hoist_common(args.into_iter().collect());
    let flags = match Flags::parse_args(&args, ParsingStyle::AllOptions) {
        Ok(flags) => flags,
        Err(error) => return fail(&Failure::usage(error.to_string()), false, out, err),
    };
    if flags.help_requested() {
        return match write_help(&flags, out) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error.into(), false, out, err),
        };
    }
    let is_json = flags.is_json().unwrap_or(false);
    match execute(&flags, env, out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => fail(&failure, is_json, out, err),
    }
}

fn fail(failure: &Failure, is_json: bool, out: &mut dyn Write, err: &mut dyn Write) -> ExitCode {
    // Nothing is left to do if the error itself can't be written.
    let _ = if is_json {
        writeln!(out, "{:#}", failure.json())
    } else {
        writeln!(err, "gyard: {failure}")
    };
    if matches!(failure, Failure::Usage { .. }) && !is_json {
        let _ = writeln!(err, "`gyard --help` lists the commands.");
    }
    ExitCode::from(failure.exit_code())
}

fn write_help(flags: &Flags, out: &mut dyn Write) -> io::Result<()> {
    let mut path = vec!["gyard"];
    path.extend(flags.command_name());
    if let Some(Command::Profile(profile)) = &flags.command {
        path.extend(profile.command_name());
    }
    let path = path.join(" ");
    let mut command: &dyn Options = flags;
    while let Some(next) = command.command() {
        command = next;
    }
    writeln!(out, "Usage: {path} [OPTIONS]\n\n{}", command.self_usage())?;
    if let Some(list) = command.self_command_list() {
        writeln!(out, "\nCommands:\n{list}")?;
    }
    writeln!(
        out,
        "\nExit codes: 0 done, 1 refused, 2 wrong usage, 3 control group unreachable or change \
         unconfirmed,\n4 accepted but not in effect on every live node"
    )
}

fn execute(
    flags: &Flags,
    env: impl Fn(&str) -> Option<String>,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let is_json = flags.is_json()?;
    let Some(command) = &flags.command else {
        return Err(Failure::usage(
            "give a command: profile, status, drain or explain",
        ));
    };
    let operators = || -> Result<Operators, Failure> {
        Ok(Operators {
            addresses: flags.addresses(&env)?,
            token: env("GYARD_OPERATOR_TOKEN").filter(|token| !token.is_empty()),
            timeout: flags.timeout(),
        })
    };
    let mut console = Console { out, is_json };
    match command {
        Command::Profile(profile) => match &profile.command {
            Some(command) => run_profile(&operators()?, command, &mut console),
            None => Err(Failure::usage(
                "give a command: profile add, change, retire, show or list",
            )),
        },
        Command::Status(_) => {
            let status: Status = operators()?.get("/v1/status").map_err(Failed::of_read)?;
            console.show(&status, output::status)
        }
        Command::Drain(drain) => run_drain(&operators()?, drain, &mut console),
        Command::Explain(flags) => explain(flags, &mut console),
    }
}

fn explain(flags: &ExplainFlags, console: &mut Console) -> Result<(), Failure> {
    let [id, files @ ..] = flags.id_and_files.as_slice() else {
        return Err(Failure::usage("give the id of a request and log files"));
    };
    if files.is_empty() {
        return Err(Failure::usage(
            "give the log files of the nodes after the id",
        ));
    }
    let story = Story::read(id, files).map_err(|error| Failure::Logs {
        reason: format!("a log file can't be read: {error}"),
    })?;
    if story.is_empty() {
        return Err(Failure::Logs {
            reason: format!(
                "no line tells of request {id}; name the log of the node that took it, and look \
                 for `log: N lines were dropped` there"
            ),
        });
    }
    console.show(&story, |out, story| story.write(out))
}

fn run_profile(
    operators: &Operators,
    command: &ProfileCommand,
    console: &mut Console,
) -> Result<(), Failure> {
    match command {
        ProfileCommand::Add(flags) => {
            let answer = change::add(operators, flags)?;
            finish_change(operators, &answer, &flags.submission(), console)
        }
        ProfileCommand::Change(flags) => {
            let answer = change::change(operators, flags)?;
            finish_change(operators, &answer, &flags.submission(), console)
        }
        ProfileCommand::Retire(flags) => {
            let answer = change::retire(operators, flags)?;
            finish_change(operators, &answer, &flags.submission(), console)
        }
        ProfileCommand::Show(flags) => {
            let name = single(&flags.name, "profile")?;
            let name = model::ProfileName::parse(name)
                .map_err(|error| Failure::usage(error.to_string()))?;
            let entry: ProfileEntry = operators
                .get(&format!("/v1/profiles/{name}"))
                .map_err(Failed::of_read)?;
            console.show(&entry, output::profile)
        }
        ProfileCommand::List(_) => {
            let list: ProfileList = operators.get("/v1/profiles").map_err(Failed::of_read)?;
            console.show(&list, output::profile_list)
        }
    }
}

fn finish_change(
    operators: &Operators,
    answer: &ChangeResponse,
    submission: &Submission,
    console: &mut Console,
) -> Result<(), Failure> {
    let Some(time) = submission.wait else {
        return console.show(answer, |out, answer| output::change(out, answer, false));
    };
    let effect = wait::until_in_effect(operators, answer.revision, time);
    if effect.is_ok() || !console.is_json {
        console.show(answer, |out, answer| {
            output::change(out, answer, effect.is_ok())
        })?;
    }
    effect
}

fn run_drain(
    operators: &Operators,
    flags: &DrainFlags,
    console: &mut Console,
) -> Result<(), Failure> {
    let instance = UpstreamName::parse(single(&flags.name, "instance")?)
        .map_err(|error| Failure::usage(error.to_string()))?;
    let service = flags.service.as_deref().map(ServiceName::parse).transpose();
    let service = service.map_err(|error| Failure::usage(error.to_string()))?;
    let request = DrainRequest { instance, service };
    // Draining twice has the effect of draining once, so that a lost answer needs no id.
    let _: Value = operators
        .post("/v1/drain", &request)
        .map_err(Failed::of_read)?;
    let answer = json!({ "instance": request.instance, "state": "draining" });
    console.show(&answer, |out, _| {
        writeln!(out, "{} is draining", request.instance)
    })
}
