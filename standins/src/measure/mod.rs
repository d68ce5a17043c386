//! The measures: each prints one JSON object a line, and says whether the
//! properties it guards held.

pub mod config;
pub mod control;
pub mod cutoff;
pub mod decide;
pub mod drain;
pub mod forward;
pub mod latency;
pub mod lookup;
pub mod once;
pub mod process;
pub mod shift;
pub mod surge;

use crate::cluster::ClusterError;
use serde::Serialize;
use serde_json::Value;
use std::path::PathBuf;
use std::process::ExitCode;

/// One line of a measure.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// Name of the measure.
    pub name: &'static str,
    /// What was set up.
    pub parameters: Value,
    /// What was found.
    pub figures: Value,
    /// The same found for what it is compared with; null where that is nothing.
    pub baseline: Value,
    /// The figure that matters over its baseline or bound.
    pub ratio: f64,
    /// Whether every property held.
    pub ok: bool,
}

/// What a measure gives.
pub type Lines = Result<Vec<Line>, ClusterError>;

/// All measures, in the order of `all`.
pub const NAMES: [&str; 11] =
    ["decide", "lookup", "forward", "surge", "shift", "once", "drain", "config", "cutoff", "control", "latency"];

/// The stand-ins' own program, which runs daemons too.
pub fn program() -> PathBuf {
    std::env::current_exe().unwrap_or_else(|_| "standins".into())
}

async fn measure(name: &str) -> Option<Lines> {
    let program = program();
    Some(match name {
        "decide" => decide::run(),
        "lookup" => lookup::run(&program).await,
        "forward" => forward::run(&program).await,
        "surge" => surge::run(&program, surge::Size::full()).await,
        "shift" => shift::run(&program, shift::Size::full()).await,
        "once" => once::run(&program, once::Size::full()).await,
        "drain" => drain::run(&program, drain::Size::full()).await,
        "config" => config::run(&program, config::Size::full()).await,
        "cutoff" => cutoff::run(&program, cutoff::Size::full()).await,
        "control" => control::run(&program).await,
        "latency" => latency::run(&program).await,
        _ => return None,
    })
}

/// Runs one measure, or all.
pub async fn run(name: &str) -> ExitCode {
    let names: Vec<&str> = if name == "all" { NAMES.to_vec() } else { vec![name] };
    let mut code = ExitCode::SUCCESS;
    for name in names {
        match measure(name).await {
            None => {
                eprintln!("no measure is named {name:?}; there are: {}", NAMES.join(" "));
                return ExitCode::from(2);
            }
            Some(Err(error)) => {
                eprintln!("{name}: {error}");
                code = ExitCode::FAILURE;
            }
            Some(Ok(lines)) => {
                for line in lines {
                    println!("{}", serde_json::to_string(&line).expect("plain data"));
                    if !line.ok {
                        code = ExitCode::FAILURE;
                    }
                }
            }
        }
    }
    code
}
