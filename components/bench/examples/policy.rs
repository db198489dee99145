//! Runs `gyard-bench policy` on its own.

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    std::process::exit(bench::policy::main(&args));
}
