//! Runs `gyard-bench policy` as a program of its own.

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    std::process::exit(bench::policy::main(&args));
}
