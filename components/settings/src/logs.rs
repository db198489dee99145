//! Log set-up: text for people, JSON for programs, both on standard output.

use crate::{
    lines::{Flusher, line_queue},
    source::{SettingError, SettingSource},
};
use log::{LevelFilter, Record};
use std::{
    fmt::Arguments,
    io::{self, Write},
    sync::OnceLock,
    time::SystemTime,
};

/// Shape of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `TIME LEVEL part: message`.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl std::str::FromStr for LogFormat {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(()),
        }
    }
}

/// Level and shape of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Lines below this level are dropped.
    pub level: LevelFilter,
    /// Shape of a line.
    pub format: LogFormat,
}

impl LogSettings {
    pub(crate) fn read<E: Fn(&str) -> Option<String>>(
        source: &SettingSource<E>,
        level: Option<&str>,
        format: Option<&str>,
    ) -> Result<Self, SettingError> {
        let level = source
            .optional("log-level", level, "off, error, warn, info, debug or trace")?
            .unwrap_or(LevelFilter::Info);
        let format = source
            .optional("log-format", format, "text or json")?
            .unwrap_or(LogFormat::Text);
        Ok(LogSettings { level, format })
    }
}

/// Lets `flush_logs` wait for the lines that are not written yet.
static FLUSHER: OnceLock<Flusher> = OnceLock::new();

/// Starts logging to standard output. Lines are dropped and counted rather than hold up a thread
/// when nobody reads them. A second call in the same process has no effect.
pub fn init_logs(settings: LogSettings) {
    let format = settings.format;
    let (queue, flusher) = match line_queue(io::stdout()) {
        Ok(made) => made,
        Err(error) => {
            eprintln!("error: no thread could be started for the log: {error}");
            return;
        }
    };
    let dispatch = fern::Dispatch::new()
        .level(settings.level)
        .format(move |out, message, record| {
            let line = format_line(format, unix_ms(), message, record);
            out.finish(format_args!("{line}"));
        })
        .chain(Box::new(queue) as Box<dyn Write + Send>);
    // An error means that a logger is already installed, as in tests and the demo.
    if dispatch.apply().is_ok() {
        let _ = FLUSHER.set(flusher);
    }
}

/// Waits a short time for the lines that are not written yet; for the end of a process.
pub fn flush_logs() {
    if let Some(flusher) = FLUSHER.get() {
        flusher.flush();
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn format_line(format: LogFormat, time_ms: u64, message: &Arguments, record: &Record) -> String {
    let text = message.to_string();
    match format {
        LogFormat::Text => {
            format!(
                "{}.{:03} {:5} {text}",
                time_ms / 1000,
                time_ms % 1000,
                record.level()
            )
        }
        LogFormat::Json => {
            let (part, message) = text.split_once(": ").unwrap_or(("", &text));
            serde_json::json!({
                "time_ms": time_ms,
                "level": record.level().as_str().to_lowercase(),
                "part": part,
                "message": message,
            })
            .to_string()
        }
    }
}
