//! The story of one request, from the logs of any number of processes.

use errors::ErrorKind;
use serde::Serialize;
use serde_json::Value;
use std::{
    collections::BTreeSet,
    fs::File,
    io::{self, BufRead, BufReader, Write},
};

/// Words that end the time stamp of a log line in text format.
const LEVELS: [&str; 5] = ["ERROR", "WARN", "INFO", "DEBUG", "TRACE"];

/// One log line about the request.
#[derive(Debug, PartialEq, Serialize)]
pub(crate) struct Step {
    /// Time in milliseconds since the epoch; absent if the line tells none.
    time_ms: Option<u64>,
    /// File that the line is from, and the process if the file has lines of several.
    source: String,
    message: String,
}

/// What the logs tell of one request.
#[derive(Debug, Serialize)]
pub(crate) struct Story {
    request: String,
    /// Calls that entries made of the request; more than one if it was sent to several entries.
    calls: BTreeSet<String>,
    steps: Vec<Step>,
    /// Code of the last failure that ended a call, with what it means and what to do.
    cause: Option<Cause>,
}

#[derive(Debug, Serialize)]
struct Cause {
    code: &'static str,
    message: &'static str,
    advice: &'static str,
}

impl Story {
    /// Reads the files twice: the first time for the calls of the request, the second time for the
    /// lines about these, so that only those are kept.
    pub(crate) fn read(request: &str, files: &[String]) -> io::Result<Story> {
        let named = format!("request {request}");
        let mut calls = BTreeSet::new();
        each_line(files, |_, line| {
            if let Some(rest) = after_word(line, &named)
                && let Some(call) = rest.trim_start().strip_prefix("call ")
            {
                let is_part = |c: &char| c.is_ascii_alphanumeric() || *c == '-';
                calls.insert(call.chars().take_while(is_part).collect());
            }
        })?;
        let calls_named: Vec<String> = calls.iter().map(|call| format!("call {call}")).collect();
        let mut steps = Vec::new();
        each_line(files, |file, line| {
            let is_about = after_word(line, &named).is_some()
                || calls_named
                    .iter()
                    .any(|named| after_word(line, named).is_some());
            if is_about {
                steps.push(step(file, line));
            }
        })?;
        steps.sort_by_key(|step| step.time_ms);
        let cause = steps.iter().rev().find_map(|step| cause_of(&step.message));
        Ok(Story {
            request: request.to_owned(),
            calls,
            steps,
            cause,
        })
    }

    /// Whether no line is about the request.
    pub(crate) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Writes the story for a human reader.
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
        match &self.cause {
            Some(cause) => writeln!(
                out,
                "\nCause: {}. {}\n{}",
                cause.code, cause.message, cause.advice
            ),
            None => writeln!(
                out,
                "\nNo line tells a failure of the system: an instance answered, or lines were dropped."
            ),
        }
    }
}

fn each_line(files: &[String], mut take: impl FnMut(&str, &str)) -> io::Result<()> {
    for file in files {
        let named = |error: io::Error| io::Error::new(error.kind(), format!("{file}: {error}"));
        let mut reader = BufReader::new(File::open(file).map_err(named)?);
        let mut bytes = Vec::new();
        while reader.read_until(b'\n', &mut bytes).map_err(named)? > 0 {
            take(file, String::from_utf8_lossy(&bytes).trim_end());
            bytes.clear();
        }
    }
    Ok(())
}

/// What follows `words` in the line, if they don't end within a longer word.
fn after_word<'a>(line: &'a str, words: &str) -> Option<&'a str> {
    let mut rest = line;
    while let Some(at) = rest.find(words) {
        rest = &rest[at + words.len()..];
        // A full stop ends the sentence, or joins the id of a nested request.
        let next = rest.strip_prefix('.').unwrap_or(rest);
        if !next.starts_with(|c: char| c.is_ascii_alphanumeric() || c == '-') {
            return Some(rest);
        }
    }
    None
}

fn step(file: &str, line: &str) -> Step {
    json_step(file, line)
        .or_else(|| text_step(file, line))
        .unwrap_or_else(|| Step {
            time_ms: None,
            source: file.to_owned(),
            message: line.to_owned(),
        })
}

fn json_step(file: &str, line: &str) -> Option<Step> {
    let value: Value = serde_json::from_str(line).ok()?;
    let part = value["part"].as_str()?;
    Some(Step {
        time_ms: value["time_ms"].as_u64(),
        source: file.to_owned(),
        message: format!("{part}: {}", value["message"].as_str()?),
    })
}

/// Time and level come before the message; what stands before the time names the process.
fn text_step(file: &str, line: &str) -> Option<Step> {
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
    Some(Step {
        time_ms: Some(time_ms),
        source,
        message: message.trim_start().to_owned(),
    })
}

/// The error kind that a line names as the end of a call.
fn cause_of(message: &str) -> Option<Cause> {
    let is_end = message.starts_with("entry:")
        && (message.contains("ended without an answer") || message.contains(" refused, "));
    let words = message.split([' ', ',', ';', '.']);
    let row = words
        .filter(|_| is_end)
        .filter_map(|word| ErrorKind::ALL.iter().find(|kind| kind.info().code == word))
        .next_back()?
        .info();
    Some(Cause {
        code: row.code,
        message: row.message,
        advice: row.advice,
    })
}
