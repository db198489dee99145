//! Thin entry point of the operators' command line.

use std::{env, io, process::ExitCode};

fn main() -> ExitCode {
    let variable = |name: &str| env::var(name).ok();
    let (mut out, mut err) = (io::stdout().lock(), io::stderr().lock());
    client::run(env::args().skip(1), variable, &mut out, &mut err)
}
