//! Drivers of the review cases: `review-standin NAME FOLDER` plays one case and writes the record
//! into the folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod deployment;
mod document;
mod http;
mod instance;
mod record;
mod setup;

mod drained_pipeline;
mod early_answer;
mod grace_period;
mod large_bodies;
mod late_heartbeats;
mod lost_at_start;

use record::Record;
use std::{
    panic::catch_unwind, path::PathBuf, process::ExitCode, sync::Arc, thread, time::Duration,
};

/// Time after which a play is given up.
const LONGEST_PLAY: Duration = Duration::from_secs(112);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case needs: its record, and whether the disruption is played.
pub struct Play {
    pub record: Arc<Record>,
    pub has_trouble: bool,
}

type Outcome = Result<Verdict, String>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new());
    let play = Play {
        record: Arc::clone(&record),
        has_trouble,
    };
    record.note(format!(
        "case {name}, disruption {}",
        if has_trouble { "on" } else { "off" }
    ));
    thread::spawn({
        let (record, folder) = (Arc::clone(&record), folder.clone());
        move || {
            thread::sleep(LONGEST_PLAY);
            record.note("the case couldn't run: it takes too long");
            record.save(&folder.join("record.txt"));
            deployment::kill_all_programs();
            std::process::exit(2);
        }
    });
    let outcome = catch_unwind(|| play_case(&name, &play))
        .unwrap_or_else(|_| Err("the driver panicked".to_owned()));
    let code = match outcome {
        Ok(Verdict::Held) => {
            record.note("the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.note("the rule was broken");
            1
        }
        Err(reason) => {
            record.note(format!("the case couldn't run: {reason}"));
            2
        }
    };
    record.save(&folder.join("record.txt"));
    ExitCode::from(code)
}

fn play_case(name: &str, play: &Play) -> Outcome {
    match name {
        "drained-pipeline" => drained_pipeline::play(play),
        "early-answer" => early_answer::play(play),
        "grace-period" => grace_period::play(play),
        "late-heartbeats" => late_heartbeats::play(play),
        "lost-at-start" => lost_at_start::play(play),
        "large-bodies" => large_bodies::play(play),
        _ => Err(format!("there is no case {name:?}")),
    }
}
