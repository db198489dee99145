//! Code shared by the binaries of geraniumyard: startup, signal handling and exit codes.

use kernel::{Settings, StopSignal, run_until_stopped};
use settings::flush_logs;
use std::{fmt::Display, process::exit};
use tikv_jemallocator::Jemalloc;

/// Returns large blocks to the operating system when they are freed. The allocator of glibc keeps
/// them in the arena of each thread: 300 callers that read 1 MiB slowly then took a node to 228 MB.
#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;

/// Exit code for wrong settings or usage.
const EXIT_USAGE: i32 = 2;
/// Exit code for a process that could not start.
const EXIT_START: i32 = 1;

/// Prints the program's name and version.
pub fn print_version(program: &str) {
    println!("{program} {}", env!("CARGO_PKG_VERSION"));
}

/// Returns the value, or prints the error to standard error and exits with code 2.
pub fn exit_on_error<T>(result: Result<T, impl Display>) -> T {
    match result {
        Ok(value) => value,
        Err(error) => {
            eprintln!("error: {error}");
            exit(EXIT_USAGE);
        }
    }
}

/// Runs a process until it receives SIGTERM or SIGINT, then stops it.
pub fn run(settings: &Settings) {
    // Signals are handled from here on: the start takes a while, and a signal during it must not
    // kill the process.
    let stop = StopSignal::new();
    if let Err(error) = stop.raise_on_signals() {
        log::error!("kernel: signals can't be handled: {error}.");
    }
    if let Err(error) = run_until_stopped(settings, &stop) {
        log::error!("kernel: {error}.");
        flush_logs();
        eprintln!("error: {error}");
        exit(EXIT_START);
    }
    flush_logs();
}
