//! Stand-ins of the third review. `standin-3 CASE ROOT RECORD` plays a case against the project's
//! programs in ROOT, writes RECORD, and exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod client;
mod deployment;
mod http;
mod instance;
mod random;
mod record;

use record::Record;
use std::{path::Path, process::ExitCode};

/// What a case has found.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record_path] = &arguments[..] else {
        eprintln!("usage: standin-3 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.say(format!("case {case}, trouble: {has_trouble}"));
    let outcome = match case.as_str() {
        "popular-read" => cases::popular_read::run(Path::new(root), &record, has_trouble),
        "poison-memory" => cases::poison_memory::run(Path::new(root), &record, has_trouble),
        "tenant-burst" => cases::tenant_burst::run(Path::new(root), &record, has_trouble),
        "drain-clock" => cases::drain_clock::run(Path::new(root), &record, has_trouble),
        "drain-notice" => cases::drain_notice::run(Path::new(root), &record, has_trouble),
        _ => Ok(Outcome::NotRun("no such case".to_owned())),
    };
    let outcome = outcome.unwrap_or_else(|error| Outcome::NotRun(error.to_string()));
    let code = match &outcome {
        Outcome::Held => {
            record.say("the rule held");
            0
        }
        Outcome::Broken => {
            record.say("the rule was BROKEN");
            1
        }
        Outcome::NotRun(reason) => {
            record.say(format!("the case could not run: {reason}"));
            2
        }
    };
    if let Err(error) = record.write(Path::new(record_path)) {
        eprintln!("{record_path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
