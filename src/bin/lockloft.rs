//! The operators' tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    lockloft::command::run(std::env::args().skip(1))
}
