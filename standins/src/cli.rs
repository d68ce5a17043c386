//! The stand-ins' command line: parses the arguments and runs the command. Exit
//! code 1 says that a promise was broken or a command failed, 2 that the arguments
//! cannot be read.

use crate::soak::{INSTANCES, Soak};
use std::process::ExitCode;

const HELP: &str = "\
Usage: standins COMMAND

Commands:
    demo [--once]        instances on a store, narrated; --once ends it
    soak [--silences] [--endings] [--tenants] [--statements]
         [--hard-load] [--restores] [--isolations]
         [--slow-readers] SEED [COUNT [INSTANCES]]
                         5 or up to 60 instances under load and faults, seed after
                         seed; one JSON line each, exit 1 where a promise was
                         broken; --silences: open connections go silent as well;
                         --endings: requests come that end the targets that run them;
                         --tenants: callers have keys of tenants, which have quotas;
                         --statements: targets name limits, leave, ask for pauses;
                         --hard-load: callers send requests before the first is
                         answered and leave with some unanswered; large answers
                         are read slowly, speeds change;
                         --restores: the store is restored from snapshots
                         --isolations: instances are cut off from all targets
                         --slow-readers: callers rest between the parts of their
                         answers, while instances stop in turn
    entries SEED [COUNT] batches of mutated records in the store of a small fleet, each
                         followed by changes that have to be in force; exit 1 where
                         one was not
    entry SETTINGS       an instance on a store, as the tests start it
    panicking-entry SETTINGS
                         the same, but values that ask for it make it panic

Examples:
    cargo run --release -p standins -- demo --once
    cargo run --release -p standins -- soak 7 3
";

/// Options of a soak.
const SOAK_OPTIONS: [&str; 8] = [
    "--silences",
    "--endings",
    "--tenants",
    "--statements",
    "--hard-load",
    "--restores",
    "--isolations",
    "--slow-readers",
];
/// Most instance processes of a soak.
const MAX_INSTANCES: u64 = 60;
/// Exit code for a command line that cannot be read.
const USAGE: u8 = 2;

/// Does what the arguments, without the program's name, ask for.
pub fn run(args: Vec<String>) -> ExitCode {
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["soak", rest @ ..] => soak_command(rest),
        ["entries", rest @ ..] => entries_command(rest),
        ["entry", settings] => platform::run(std::path::Path::new(settings)),
        ["panicking-entry", settings] => crate::panicking::run(std::path::Path::new(settings)),
        ["demo"] => block_on(demo(false)),
        ["demo", "--once"] => block_on(demo(true)),
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

fn block_on(work: impl Future<Output = ExitCode>) -> ExitCode {
    match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(work),
        Err(error) => fail(&error),
    }
}

async fn demo(once: bool) -> ExitCode {
    match std::env::current_exe() {
        Ok(program) => crate::demo::run(&program, once).await,
        Err(error) => fail(&error),
    }
}

/// Reads the numbers of a fuzz of entries and runs it.
fn entries_command(words: &[&str]) -> ExitCode {
    let numbers: Result<Vec<u64>, _> = words.iter().map(|word| word.parse()).collect();
    match numbers.as_deref() {
        Ok([seed]) => block_on(entries(*seed, 1)),
        Ok([seed, count]) => block_on(entries(*seed, *count)),
        _ => ExitCode::from(USAGE),
    }
}

async fn entries(seed: u64, count: u64) -> ExitCode {
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => return fail(&error),
    };
    let found = crate::entries::fuzz::run(&program, seed, count).await;
    println!("{count} batches of seed {seed}, {} with a finding", found.len());
    found.iter().for_each(|finding| println!("{finding}"));
    if found.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Reads the options and numbers of a soak and runs it.
fn soak_command(words: &[&str]) -> ExitCode {
    let (options, numbers): (Vec<&str>, Vec<&str>) = words.iter().partition(|word| word.starts_with("--"));
    if options.iter().any(|option| !SOAK_OPTIONS.contains(option)) {
        return ExitCode::from(USAGE);
    }
    let [silences, endings, tenants, statements, hard_load, restores, isolations, slow_readers] =
        SOAK_OPTIONS.map(|option| options.contains(&option));
    let numbers: Result<Vec<u64>, _> = numbers.iter().map(|number| number.parse()).collect();
    let (seed, count, instances) = match numbers.as_deref() {
        Ok([seed]) => (*seed, 1, INSTANCES),
        Ok([seed, count]) => (*seed, *count, INSTANCES),
        Ok([seed, count, instances @ 2..=MAX_INSTANCES]) => (*seed, *count, *instances as usize),
        _ => return ExitCode::from(USAGE),
    };
    let soaks = (seed..seed + count).map(|seed| Soak {
        silences,
        endings,
        tenants,
        statements,
        hard_load,
        restores,
        isolations,
        slow_readers,
        ..Soak::new(seed, instances)
    });
    block_on(soak(soaks))
}

async fn soak(soaks: impl Iterator<Item = Soak>) -> ExitCode {
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => return fail(&error),
    };
    let mut kept = true;
    for soak in soaks {
        let outcome = crate::soak::run(&program, soak).await;
        println!("{}", serde_json::to_string(&outcome).expect("an outcome is plain numbers"));
        kept &= outcome.broken.is_none();
    }
    if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn fail(error: &std::io::Error) -> ExitCode {
    eprintln!("standins: {error}");
    ExitCode::FAILURE
}
