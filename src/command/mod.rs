//! The operators' tool: it checks policies, asks an instance at its peers'
//! address, and turns answers and log lines into sentences.
//!
//! | module | its job |
//! |---|---|
//! | `options`, `help` | the command line, checked once; its description |
//! | `apply`, `check`, `show` | policies: write, check offline, read |
//! | `status`, `instances`, `targets`, `quota`, `why` | what an instance holds and decides |
//! | `explain`, `account` | what became of a request, from collected log lines |
//! | `client` | questions to an instance over HTTP |
//! | `output`, `error` | what is printed, and the exit codes |
//!
//! Owns no state. Relies on [`crate::operator::api`] for the form of questions
//! and answers, on [`crate::policy`] for the check of policies, and on
//! [`crate::telemetry::access_log`] for the form of log lines.

mod account;
mod apply;
mod check;
mod client;
mod error;
mod explain;
mod help;
mod instances;
mod options;
mod output;
mod quota;
mod show;
mod status;
mod targets;
#[cfg(test)]
mod tests;
mod why;

use client::Client;
use error::CommandError;
use options::{Asked, Command, Options};
use output::Output;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};

/// Does what the arguments, without the program's name, ask for.
///
/// Prints the result, or the error on the error output. The exit code is one of
/// those that `lockloft --help` lists.
pub fn run(args: impl Iterator<Item = String>) -> ExitCode {
    match execute(args.collect()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lockloft: {error}");
            ExitCode::from(error.code())
        }
    }
}

fn execute(args: Vec<String>) -> Result<(), CommandError> {
    match Asked::try_from(args)? {
        Asked::Help => print!("{}", help::HELP),
        Asked::Version => println!("lockloft {}", env!("CARGO_PKG_VERSION")),
        Asked::Run(options) => runtime()?.block_on(output(&options))?.print(options.json),
    }
    Ok(())
}

fn runtime() -> Result<Runtime, CommandError> {
    Builder::new_current_thread().enable_all().build().map_err(|error| CommandError::BadAnswer(error.to_string()))
}

async fn output(options: &Options) -> Result<Output, CommandError> {
    // Checking and explaining need no instance, so that a missing one is an error
    // of the other commands only.
    let client = Client::new(options.instance.as_deref());
    match &options.command {
        Command::Check(path) => check::run(path),
        Command::Explain(explain) => explain::run(explain),
        Command::Apply(apply) => apply::run(&client?, apply).await,
        Command::Show => show::run(&client?).await,
        Command::Status => status::run(&client?).await,
        Command::Instances => instances::run(&client?).await,
        Command::Targets => targets::run(&client?).await,
        Command::Quota(tenant) => quota::run(&client?, tenant.as_deref()).await,
        Command::Why(pairs) => why::run(&client?, pairs).await,
    }
}
