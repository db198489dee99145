//! Collects the log lines about one request from the logs of any number of processes.

use errors::ErrorKind;
use serde::Serialize;
use serde_json::Value;
use std::{
    collections::BTreeSet,
    fs::File,
    io::{self, BufRead, BufReader, Write},
};

/// Log levels. In text format the level follows the time stamp.
const LEVELS: [&str; 5] = ["ERROR", "WARN", "INFO", "DEBUG", "TRACE"];

/// One log line about the request.
#[derive(Debug, PartialEq, Serialize)]
pub(crate) struct LogLine {
    /// Time in milliseconds since the Unix epoch; absent if the line has none.
    time_ms: Option<u64>,
    /// File that contains the line, and the process if the file has lines of several processes.
    source: String,
    message: String,
}

/// The log lines about one request and the failure that ended it; also the JSON output of
/// `explain`.
#[derive(Debug, Serialize)]
pub(crate) struct RequestTrace {
    request: String,
    /// Ids of the calls that entries created for the request; several if it was sent to several
    /// entries.
    calls: BTreeSet<String>,
    /// Customer that the request was sent for, if a line names one.
    #[serde(skip_serializing_if = "Option::is_none")]
    customer: Option<String>,
    steps: Vec<LogLine>,
    /// The last failure that ended a call.
    cause: Option<Cause>,
}

/// Error code with its message and advice.
#[derive(Debug, Serialize)]
struct Cause {
    code: &'static str,
    message: &'static str,
    advice: &'static str,
}

impl RequestTrace {
    /// Reads the files twice: first to find the calls of the request, then to keep only the lines
    /// about them.
    pub(crate) fn read(request: &str, files: &[String]) -> io::Result<RequestTrace> {
        let mention = format!("request {request}");
        let mut calls = BTreeSet::new();
        for_each_line(files, |_, line| {
            if let Some(rest) = text_after(line, &mention)
                && let Some(call) = rest.trim_start().strip_prefix("call ")
            {
                let is_part = |c: &char| c.is_ascii_alphanumeric() || *c == '-';
                calls.insert(call.chars().take_while(is_part).collect());
            }
        })?;
        let call_mentions: Vec<String> = calls.iter().map(|call| format!("call {call}")).collect();
        let mut steps = Vec::new();
        for_each_line(files, |file, line| {
            let is_about = text_after(line, &mention).is_some()
                || call_mentions
                    .iter()
                    .any(|mention| text_after(line, mention).is_some());
            if is_about {
                steps.push(parse_line(file, line));
            }
        })?;
        steps.sort_by_key(|step| step.time_ms);
        let cause = steps
            .iter()
            .rev()
            .find_map(|step| find_cause(&step.message));
        let customer = steps.iter().find_map(|step| find_customer(&step.message));
        Ok(RequestTrace {
            request: request.to_owned(),
            calls,
            customer,
            steps,
            cause,
        })
    }

    /// Whether no line mentions the request.
    pub(crate) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Writes the lines and the cause as text.
    pub(crate) fn write(&self, out: &mut dyn Write) -> io::Result<()> {
        for step in &self.steps {
            let time_ms = step.time_ms.unwrap_or(0);
            let (seconds, millis) = (time_ms / 1_000, time_ms % 1_000);
            writeln!(
                out,
                "{seconds}.{millis:03}  {}  {}",
                step.source, step.message
            )?;
        }
        if let Some(customer) = &self.customer {
            writeln!(out, "\nCustomer: {customer}")?;
        }
        match &self.cause {
            Some(cause) => writeln!(
                out,
                "\nCause: {}. {}\n{}",
                cause.code, cause.message, cause.advice
            ),
            None => writeln!(
                out,
                "\nNo log line reports a failure of the system: an instance answered, or lines were dropped."
            ),
        }
    }
}

/// Calls `handle_line` with the file and the text of each line of the files.
fn for_each_line(files: &[String], mut handle_line: impl FnMut(&str, &str)) -> io::Result<()> {
    for file in files {
        let with_file_name =
            |error: io::Error| io::Error::new(error.kind(), format!("{file}: {error}"));
        let mut reader = BufReader::new(File::open(file).map_err(with_file_name)?);
        let mut bytes = Vec::new();
        while reader
            .read_until(b'\n', &mut bytes)
            .map_err(with_file_name)?
            > 0
        {
            handle_line(file, String::from_utf8_lossy(&bytes).trim_end());
            bytes.clear();
        }
    }
    Ok(())
}

/// Returns the text after `words` in the line, unless they end inside a longer word.
fn text_after<'a>(line: &'a str, words: &str) -> Option<&'a str> {
    let mut rest = line;
    while let Some(at) = rest.find(words) {
        rest = &rest[at + words.len()..];
        // A full stop ends the sentence, or is followed by the rest of a nested request's id.
        let next = rest.strip_prefix('.').unwrap_or(rest);
        if !next.starts_with(|c: char| c.is_ascii_alphanumeric() || c == '-') {
            return Some(rest);
        }
    }
    None
}

fn parse_line(file: &str, line: &str) -> LogLine {
    parse_json_line(file, line)
        .or_else(|| parse_text_line(file, line))
        .unwrap_or_else(|| LogLine {
            time_ms: None,
            source: file.to_owned(),
            message: line.to_owned(),
        })
}

fn parse_json_line(file: &str, line: &str) -> Option<LogLine> {
    let value: Value = serde_json::from_str(line).ok()?;
    let part = value["part"].as_str()?;
    Some(LogLine {
        time_ms: value["time_ms"].as_u64(),
        source: file.to_owned(),
        message: format!("{part}: {}", value["message"].as_str()?),
    })
}

/// Parses `SECONDS.MILLIS LEVEL MESSAGE`; a word before the time names the process.
fn parse_text_line(file: &str, line: &str) -> Option<LogLine> {
    let (level, at) = LEVELS
        .iter()
        .filter_map(|level| Some((level, line.find(&format!(" {level} "))?)))
        .min_by_key(|(_, at)| *at)?;
    let (head, message) = (&line[..at], &line[at + level.len() + 1..]);
    let (process, time) = head.rsplit_once(' ').unwrap_or(("", head));
    let (seconds, millis) = time.split_once('.')?;
    let time_ms = seconds.parse::<u64>().ok()? * 1_000 + millis.parse::<u64>().ok()?;
    let process = process.split_whitespace().last().unwrap_or_default();
    let source = match process {
        "" => file.to_owned(),
        process => format!("{file} {process}"),
    };
    Some(LogLine {
        time_ms: Some(time_ms),
        source,
        message: message.trim_start().to_owned(),
    })
}

/// Returns the customer that a line of the entry names.
fn find_customer(message: &str) -> Option<String> {
    let (_, rest) = message.strip_prefix("entry:")?.split_once(" customer ")?;
    let name = rest.split(' ').next()?;
    Some(name.to_owned())
}

/// Returns the error of a log line that reports the end of a call.
fn find_cause(message: &str) -> Option<Cause> {
    let is_end_of_call = message.starts_with("entry:")
        && (message.contains("ended without an answer") || message.contains(" refused, "));
    let words = message.split([' ', ',', ';', '.']);
    let info = words
        .filter(|_| is_end_of_call)
        .filter_map(|word| ErrorKind::ALL.iter().find(|kind| kind.info().code == word))
        .next_back()?
        .info();
    Some(Cause {
        code: info.code,
        message: info.message,
        advice: info.advice,
    })
}
