//! Runs one command and writes its result.

use crate::{
    change,
    failure::Failure,
    operator_client::{OperatorClient, RequestError},
    options::{
        Command, DrainFlags, ExplainFlags, Flags, ProfileCommand, SubmitOptions, ZoneCommand,
        ZoneCommandFlags, move_common_flags_first, single_argument,
    },
    output,
    request_trace::RequestTrace,
    route, route_output, wait, zone,
};
use api::{ChangeResponse, CustomerList, DrainRequest, ProfileEntry, ProfileList, Status};
use gumdrop::{Options, ParsingStyle};
use model::{ServiceName, UpstreamName};
use serde::Serialize;
use serde_json::{Value, json};
use std::{
    io::{self, Write},
    process::ExitCode,
};

/// Output stream and format of a command's result.
struct Console<'a> {
    out: &'a mut dyn Write,
    is_json: bool,
}

impl Console<'_> {
    /// Writes a result as JSON or with `write_text`.
    fn write_result<T: Serialize>(
        &mut self,
        value: &T,
        write_text: impl FnOnce(&mut dyn Write, &T) -> io::Result<()>,
    ) -> Result<(), Failure> {
        if self.is_json {
            let text = serde_json::to_string_pretty(value).expect("plain data encodes");
            writeln!(self.out, "{text}")?;
            return Ok(());
        }
        Ok(write_text(self.out, value)?)
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
    let args = move_common_flags_first(args.into_iter().collect());
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
    // If the error itself can't be written, it can't be reported either.
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
    if let Some(Command::Zone(zone)) = &flags.command {
        path.extend(zone.command_name());
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
            "give a command: profile, status, customers, drain, explain, zone or route",
        ));
    };
    let client = || -> Result<OperatorClient, Failure> {
        Ok(OperatorClient {
            addresses: flags.addresses(&env)?,
            token: env("GYARD_OPERATOR_TOKEN").filter(|token| !token.is_empty()),
            timeout: flags.timeout(),
        })
    };
    let mut console = Console { out, is_json };
    match command {
        Command::Profile(profile) => match &profile.command {
            Some(command) => run_profile(&client()?, command, &mut console),
            None => Err(Failure::usage(
                "give a command: profile add, change, retire, show or list",
            )),
        },
        Command::Status(_) => {
            let status: Status = client()?
                .get("/v1/status")
                .map_err(RequestError::into_failure)?;
            console.write_result(&status, output::write_status)
        }
        Command::Customers(_) => {
            let list: CustomerList = client()?
                .get("/v1/customers")
                .map_err(RequestError::into_failure)?;
            console.write_result(&list, output::write_customers)
        }
        Command::Drain(drain) => run_drain(&client()?, drain, &mut console),
        Command::Explain(flags) => explain(flags, &mut console),
        Command::Route(route_flags) => {
            let answer = route::ask(route_flags, flags.timeout())?;
            console.write_result(&answer, route_output::write_route)
        }
        Command::Zone(zone) => match &zone.command {
            Some(command) => run_zone(&client()?, command, &mut console),
            None => Err(Failure::usage(
                "give a command: zone evacuate, readmit or list",
            )),
        },
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
    let trace = RequestTrace::read(id, files).map_err(|error| Failure::Logs {
        reason: format!("a log file can't be read: {error}"),
    })?;
    if trace.is_empty() {
        return Err(Failure::Logs {
            reason: format!(
                "no log line mentions request {id}; give the log of the node that received it, and \
                 look for `log: N lines were dropped` there"
            ),
        });
    }
    console.write_result(&trace, |out, trace| trace.write(out))
}

fn run_profile(
    client: &OperatorClient,
    command: &ProfileCommand,
    console: &mut Console,
) -> Result<(), Failure> {
    match command {
        ProfileCommand::Add(flags) => {
            let answer = change::add(client, flags)?;
            report_change(client, &answer, &flags.submit_options(), console)
        }
        ProfileCommand::Change(flags) => {
            let answer = change::change(client, flags)?;
            report_change(client, &answer, &flags.submit_options(), console)
        }
        ProfileCommand::Retire(flags) => {
            let answer = change::retire(client, flags)?;
            report_change(client, &answer, &flags.submit_options(), console)
        }
        ProfileCommand::Show(flags) => {
            let name = single_argument(&flags.name, "profile")?;
            let name = model::ProfileName::parse(name)
                .map_err(|error| Failure::usage(error.to_string()))?;
            let entry: ProfileEntry = client
                .get(&format!("/v1/profiles/{name}"))
                .map_err(RequestError::into_failure)?;
            console.write_result(&entry, output::write_profile)
        }
        ProfileCommand::List(_) => {
            let list: ProfileList = client
                .get("/v1/profiles")
                .map_err(RequestError::into_failure)?;
            console.write_result(&list, output::write_profile_list)
        }
    }
}

/// Waits for the change to be in effect if asked to, and writes the result.
fn report_change(
    client: &OperatorClient,
    answer: &ChangeResponse,
    submit_options: &SubmitOptions,
    console: &mut Console,
) -> Result<(), Failure> {
    let Some(time) = submit_options.wait else {
        return console.write_result(answer, |out, answer| {
            output::write_change(out, answer, false)
        });
    };
    let effect = wait::wait_until_in_effect(client, answer.revision, time);
    if effect.is_ok() || !console.is_json {
        console.write_result(answer, |out, answer| {
            output::write_change(out, answer, effect.is_ok())
        })?;
    }
    effect
}

fn run_zone(
    client: &OperatorClient,
    command: &ZoneCommand,
    console: &mut Console,
) -> Result<(), Failure> {
    match command {
        ZoneCommand::Evacuate(flags) => command_zone(client, flags, true, console),
        ZoneCommand::Readmit(flags) => command_zone(client, flags, false, console),
        ZoneCommand::List(_) => {
            let list = zone::list(client)?;
            console.write_result(&list, output::write_zone_list)
        }
    }
}

fn command_zone(
    client: &OperatorClient,
    flags: &ZoneCommandFlags,
    is_evacuated: bool,
    console: &mut Console,
) -> Result<(), Failure> {
    let answer = zone::command(client, flags, is_evacuated)?;
    let effect = flags
        .wait_duration()
        .map(|time| wait::wait_until_in_effect(client, answer.revision, time));
    let is_in_effect = matches!(effect, Some(Ok(())));
    let has_failed = matches!(effect, Some(Err(_)));
    if !has_failed || !console.is_json {
        console.write_result(&answer, |out, answer| {
            output::write_zone_command(out, answer, is_in_effect)
        })?;
    }
    effect.unwrap_or(Ok(()))
}

fn run_drain(
    client: &OperatorClient,
    flags: &DrainFlags,
    console: &mut Console,
) -> Result<(), Failure> {
    let instance = UpstreamName::parse(single_argument(&flags.name, "instance")?)
        .map_err(|error| Failure::usage(error.to_string()))?;
    let service = flags.service.as_deref().map(ServiceName::parse).transpose();
    let service = service.map_err(|error| Failure::usage(error.to_string()))?;
    let request = DrainRequest { instance, service };
    // Draining is idempotent, so that a request whose answer was lost can be repeated without an
    // id.
    let _: Value = client
        .post("/v1/drain", &request)
        .map_err(RequestError::into_failure)?;
    let answer = json!({ "instance": request.instance, "state": "draining" });
    console.write_result(&answer, |out, _| {
        writeln!(out, "{} is draining", request.instance)
    })
}
