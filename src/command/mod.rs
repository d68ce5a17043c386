//! The operators' tool: one file for each command.

mod apply;
mod check;
mod client;
mod error;
mod explain;
mod listing;
pub mod options;
mod request;
#[cfg(test)]
mod tests;
mod why;

use client::Client;
use error::CommandError;
use options::{Asked, Command, Options};
use serde::Serialize;
use std::process::ExitCode;

/// What a command has to say.
pub struct Output {
    /// For a person.
    pub text: String,
    /// For a program.
    pub json: serde_json::Value,
}

impl Output {
    /// Both forms of a value.
    ///
    /// # Errors
    /// Never for plain data.
    fn new<T: Serialize>(value: &T, text: String) -> Result<Self, CommandError> {
        let json = serde_json::to_value(value).map_err(|e| CommandError::Strange(e.to_string()))?;
        Ok(Self { text, json })
    }
}

/// Does what the arguments, without the program's name, ask for.
pub fn run(args: impl Iterator<Item = String>) -> ExitCode {
    let asked = match Asked::try_from(args.collect::<Vec<_>>()) {
        Ok(asked) => asked,
        Err(error) => return fail(&error),
    };
    match asked {
        Asked::Help => {
            print!("{}", options::HELP);
            ExitCode::SUCCESS
        }
        Asked::Version => {
            println!("lockloft {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Asked::Run(options) => execute(&options),
    }
}

fn execute(options: &Options) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&CommandError::Strange(error.to_string())),
    };
    match runtime.block_on(output(options)) {
        Ok(output) => {
            if options.json {
                println!("{}", output.json);
            } else {
                print!("{}", output.text);
            }
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

async fn output(options: &Options) -> Result<Output, CommandError> {
    let client = Client::new(options.instance.as_deref());
    match &options.command {
        Command::Check(path) => check::run(path),
        Command::Explain(explain) => explain::run(explain),
        Command::Apply(apply) => apply::run(&client?, apply).await,
        Command::Show => listing::show(&client?).await,
        Command::Status => listing::status(&client?).await,
        Command::Instances => listing::instances(&client?).await,
        Command::Targets => listing::targets(&client?).await,
        Command::Why(pairs) => why::run(&client?, pairs).await,
    }
}

fn fail(error: &CommandError) -> ExitCode {
    eprintln!("lockloft: {error}");
    ExitCode::from(error.code())
}
