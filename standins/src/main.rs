//! The stand-ins' program.

use std::process::ExitCode;

fn main() -> ExitCode {
    standins::options::run(std::env::args().skip(1).collect())
}
