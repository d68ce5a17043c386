//! The stand-ins' program: a demonstration, the fault soak, and an instance as the
//! tests start it.

use std::process::ExitCode;

fn main() -> ExitCode {
    standins::cli::run(std::env::args().skip(1).collect())
}
