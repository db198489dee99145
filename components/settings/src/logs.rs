//! Log set-up. Lines go to standard output, as text for people or as JSON for programs.

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

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `TIME LEVEL part: message`.
    #[default]
    Text,
    /// One JSON object per line.
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

/// Level and format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Lines below this level are dropped.
    pub level: LevelFilter,
    /// Whether lines are text or JSON.
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

/// Flusher of the installed logger, for `flush_logs`.
static FLUSHER: OnceLock<Flusher> = OnceLock::new();

/// Starts logging to standard output. If nobody reads it, lines are dropped and counted instead of
/// blocking the threads that log. A second call in the same process has no effect.
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
    // Fails if a logger is already installed, as in tests and in the demo.
    if dispatch.apply().is_ok() {
        let _ = FLUSHER.set(flusher);
    }
}

/// Waits a short time for lines that are not written yet; call it before the process exits.
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
