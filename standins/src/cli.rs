//! The stand-ins' command line.

use crate::demo;
use std::process::ExitCode;

const HELP: &str = "\
Usage: standins COMMAND

Commands:
    demo [--once]        instances on a store, narrated; --once ends it
    soak SEED [COUNT [INSTANCES]]
                         5 or up to 32 instances under load and faults, seed after
                         seed; one JSON line each, exit 1 where a promise was
                         broken
    entry SETTINGS       an instance on a store, as the tests start it

Examples:
    cargo run --release -p standins -- demo --once
    cargo run --release -p standins -- soak 7 3
";

/// The most instance processes of a soak.
const MAX_INSTANCES: usize = 32;
/// Exit code for a command line that cannot be read.
const USAGE: u8 = 2;

/// Does what the arguments, without the program's name, ask for.
pub fn run(args: Vec<String>) -> ExitCode {
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["soak", seed] => block(soak(seed, "1", crate::soak::INSTANCES)),
        ["soak", seed, count] => block(soak(seed, count, crate::soak::INSTANCES)),
        ["soak", seed, count, instances] => match instances.parse() {
            Ok(instances @ 2..=MAX_INSTANCES) => block(soak(seed, count, instances)),
            _ => ExitCode::from(USAGE),
        },
        ["entry", settings] => platform::run(std::path::Path::new(settings)),
        ["demo"] => block(demo::run(false)),
        ["demo", "--once"] => block(demo::run(true)),
        ["--help" | "-h"] => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        _ => {
            eprint!("{HELP}");
            ExitCode::from(USAGE)
        }
    }
}

fn block(work: impl Future<Output = ExitCode>) -> ExitCode {
    match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(work),
        Err(error) => {
            eprintln!("standins: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn soak(seed: &str, count: &str, instances: usize) -> ExitCode {
    let (Ok(first), Ok(count)) = (seed.parse::<u64>(), count.parse::<u64>()) else { return ExitCode::from(USAGE) };
    let Ok(program) = std::env::current_exe() else { return ExitCode::FAILURE };
    let mut kept = true;
    for seed in first..first + count {
        let outcome = crate::soak::run(&program, crate::soak::Soak::new(seed, instances)).await;
        println!("{}", serde_json::to_string(&outcome).expect("an outcome is plain numbers"));
        kept &= outcome.broken.is_none();
    }
    if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
