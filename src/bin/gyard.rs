//! Command line client for operators: profiles, status, drains and request logs.

use std::{env, io, process::ExitCode};

fn main() -> ExitCode {
    let lookup = |name: &str| env::var(name).ok();
    client::run(
        env::args().skip(1),
        lookup,
        &mut io::stdout(),
        &mut io::stderr(),
    )
}
