//! The daemon, one for each entry instance.

use lockloft::daemon::options;
use std::process::ExitCode;

fn main() -> ExitCode {
    options::run(std::env::args().skip(1))
}
