//! The stand-ins' command line.

use crate::{demo, halls_demo, measure};
use std::process::ExitCode;

const HELP: &str = "\
Usage: standins COMMAND

Commands:
    demo [--once]        entries on a store, narrated; --once ends it
    halls-demo [--once]  lockloftd in halls, narrated; --once ends it
    measure NAME|all     print one JSON object a line; exit 1 where a property
                         was broken
    soak SEED [COUNT [ENTRIES]]
                         5 or up to 32 entries under load and faults, seed after
                         seed; one JSON line each, exit 1 where a promise was
                         broken
    platform ADDR        the platform's service alone
    target ADDR SLOTS MS a target alone
    daemon --settings F  lockloftd, as the demo and the measures start it
    entry SETTINGS       an entry instance on a store, as the tests start it

Measures: decide lookup forward surge shift once drain config cutoff control latency

Examples:
    cargo run --release -p standins -- demo --once
    cargo run --release -p standins -- measure shift
";

/// The most entry processes of a soak.
const MOST_ENTRIES: usize = 32;
/// Exit code for a command line that cannot be read.
const USAGE: u8 = 2;

/// Does what the arguments, without the program's name, ask for.
pub fn run(args: Vec<String>) -> ExitCode {
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["daemon", ..] => lockloft::daemon::options::run(args.into_iter().skip(1)),
        ["soak", seed] => block(soak(seed, "1", crate::soak::ENTRIES)),
        ["soak", seed, count] => block(soak(seed, count, crate::soak::ENTRIES)),
        ["soak", seed, count, entries] => match entries.parse() {
            Ok(entries @ 2..=MOST_ENTRIES) => block(soak(seed, count, entries)),
            _ => ExitCode::from(USAGE),
        },
        ["entry", settings] => platform::run(std::path::Path::new(settings)),
        ["demo"] => block(demo::run(false)),
        ["demo", "--once"] => block(demo::run(true)),
        ["halls-demo"] => block(halls_demo::run(false)),
        ["halls-demo", "--once"] => block(halls_demo::run(true)),
        ["measure", name] => block(measure::run(name)),
        ["platform", address] => block(key_value(address)),
        ["target", address, slots, millis] => block(target(address, slots, millis)),
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

async fn soak(seed: &str, count: &str, entries: usize) -> ExitCode {
    let (Ok(first), Ok(count)) = (seed.parse::<u64>(), count.parse::<u64>()) else { return ExitCode::from(USAGE) };
    let Ok(program) = std::env::current_exe() else { return ExitCode::FAILURE };
    let mut kept = true;
    for seed in first..first + count {
        let outcome = crate::soak::run(&program, crate::soak::Soak::new(seed, entries)).await;
        println!("{}", serde_json::to_string(&outcome).expect("an outcome is plain numbers"));
        kept &= outcome.broken.is_none();
    }
    if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn key_value(address: &str) -> ExitCode {
    let Ok(address) = address.parse() else { return ExitCode::from(USAGE) };
    match crate::key_value::KeyValue::start(address).await {
        Ok(platform) => {
            println!("platform at {}", platform.address);
            std::future::pending().await
        }
        Err(error) => {
            eprintln!("standins: {address}: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn target(address: &str, slots: &str, millis: &str) -> ExitCode {
    let (Ok(address), Ok(slots), Ok(millis)) = (address.parse(), slots.parse(), millis.parse()) else {
        return ExitCode::from(USAGE);
    };
    match crate::target::Target::start("target", address, slots, std::time::Duration::from_millis(millis)).await {
        Ok(target) => {
            println!("target at {}", target.address);
            std::future::pending().await
        }
        Err(error) => {
            eprintln!("standins: {address}: {error}");
            ExitCode::FAILURE
        }
    }
}
