//! The stand-ins' program.

use std::process::ExitCode;

fn main() -> ExitCode {
    standins::cli::run(std::env::args().skip(1).collect())
}
