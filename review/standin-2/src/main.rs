//! Stand-ins and scripts of the second review. `review-standin-2 CASE FOLDER`, run in the repository;
//! the folder gets `record.txt`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. With `TROUBLE=0` the disruption is left out.

mod deployment;
mod http;
mod instance;
mod operator;
mod record;

mod caller_service;
mod draining_ignored;
mod foreign_service;
mod lost_formation;
mod small_weights;

use record::Record;
use std::{path::Path, process::ExitCode};

/// What a script found.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(Path::new(folder)) else {
        eprintln!("record.txt can't be written");
        return ExitCode::from(2);
    };
    record.line(format!("case {case}, disruption: {has_trouble}"));
    let result = match case.as_str() {
        "caller-service" => caller_service::run(has_trouble, &record),
        "draining-ignored" => draining_ignored::run(has_trouble, &record),
        "foreign-service" => foreign_service::run(has_trouble, &record),
        "lost-formation" => lost_formation::run(has_trouble, &record),
        "small-weights" => small_weights::run(has_trouble, &record),
        _ => Err(format!("unknown case {case}")),
    };
    let (text, code) = match result {
        Ok(Verdict::Held) => ("held".to_owned(), 0),
        Ok(Verdict::Broken(what)) => (format!("broken: {what}"), 1),
        Err(why) => (format!("could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
