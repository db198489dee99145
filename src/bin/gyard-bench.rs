//! Benchmarks and test tools: `demo`, `policy`, `cost`, `upstream` and `load`.

use std::process::exit;

const USAGE: &str = "\
Usage: gyard-bench COMMAND [OPTIONS]

Commands:
  cost      measure what two nodes add to a call, and the idle cost
  demo      run the whole system in one process and check its guarantees
  policy    compare routing policies in virtual time
  upstream  serve as a test upstream
  load      send calls at a fixed rate

`gyard-bench COMMAND --help` lists the options of a command.";

fn main() {
    let mut args = std::env::args().skip(1);
    let command = args.next().unwrap_or_default();
    let rest: Vec<String> = args.collect();
    let code = match command.as_str() {
        "cost" => bench::cost::main(&rest),
        "demo" => bench::demo::main(&rest),
        "policy" => bench::policy::main(&rest),
        "upstream" => bench::upstream::main(&rest),
        "load" => bench::load::main(&rest),
        "-h" | "--help" | "help" => {
            println!("{USAGE}");
            0
        }
        _ => {
            eprintln!("error: unknown command {command:?}\n\n{USAGE}");
            2
        }
    };
    exit(code);
}
