//! The daemon's command line.

use crate::settings::Settings;
use getopts::Options;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code for settings or addresses that cannot work.
const FAILED: u8 = 1;
/// Exit code for a command line that cannot be read.
const USAGE: u8 = 2;

const HELP: &str = "\
Usage: lockloftd --settings FILE [--check]

Runs one entry instance of lockloft until SIGTERM, which is a planned stop.

Options:
    -s, --settings FILE   settings in TOML, see docs/SETTINGS.md
        --check           check the settings, print nothing if they are good, end
    -h, --help            print this help
    -V, --version         print the version

Exit codes:
    0  stopped as planned, or the settings are good
    1  the settings or an address cannot work
    2  the command line cannot be read

Example:
    lockloftd --settings /etc/lockloft/batumi-terminal-1.toml
";

/// What the command line asks for.
enum Asked {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Check the settings only.
    Check(PathBuf),
    /// Run.
    Run(PathBuf),
}

impl Asked {
    fn read(args: impl Iterator<Item = String>) -> Result<Self, String> {
        let mut options = Options::new();
        options.optopt("s", "settings", "", "FILE").optflag("", "check", "");
        options.optflag("h", "help", "").optflag("V", "version", "");
        let matches = options.parse(args).map_err(|e| e.to_string())?;
        if matches.opt_present("help") {
            return Ok(Asked::Help);
        }
        if matches.opt_present("version") {
            return Ok(Asked::Version);
        }
        if let Some(extra) = matches.free.first() {
            return Err(format!("unexpected argument {extra:?}"));
        }
        let settings = matches.opt_str("settings").ok_or("--settings FILE is missing")?.into();
        Ok(if matches.opt_present("check") { Asked::Check(settings) } else { Asked::Run(settings) })
    }
}

/// Does what the arguments, without the program's name, ask for.
pub fn run(args: impl Iterator<Item = String>) -> ExitCode {
    match Asked::read(args) {
        Ok(Asked::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Asked::Version) => {
            println!("lockloftd {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Asked::Check(path)) => with_settings(&path, |_| Ok(())),
        Ok(Asked::Run(path)) => with_settings(&path, super::run),
        Err(message) => {
            eprintln!("lockloftd: {message}; remedy: see lockloftd --help");
            ExitCode::from(USAGE)
        }
    }
}

fn with_settings(path: &Path, act: impl FnOnce(Settings) -> Result<(), super::DaemonError>) -> ExitCode {
    let result = Settings::try_from(path).map_err(|e| e.to_string());
    match result.and_then(|settings| act(settings).map_err(|e| e.to_string())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lockloftd: {message}");
            ExitCode::from(FAILED)
        }
    }
}
