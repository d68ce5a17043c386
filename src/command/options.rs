//! The tool's command line, checked once: what follows gets paths, numbers and
//! pairs, and no arguments. `help.rs` describes it.

use super::error::CommandError;
use getopts::{Matches, Options as Parser};
use std::path::PathBuf;

/// Environment variable with the peers' address of an instance.
const INSTANCE_VARIABLE: &str = "LOCKLOFT_ENTRY";

/// What the arguments ask for.
pub enum Asked {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run a command.
    Run(Options),
}

/// A checked command line.
pub struct Options {
    /// Peers' address of the instance to ask, where one is given.
    pub instance: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
    /// What to do.
    pub command: Command,
}

/// What to do.
pub enum Command {
    /// Apply policies.
    Apply(Apply),
    /// Check policies offline.
    Check(PathBuf),
    /// Print the policies in force.
    Show,
    /// Print the instance's state.
    Status,
    /// List instances.
    Instances,
    /// List targets.
    Targets,
    /// List quotas, or that of one tenant.
    Quota(Option<String>),
    /// Make a dry decision for these keys and values.
    Why(Vec<(String, String)>),
    /// Explain what became of a request.
    Explain(Explain),
}

/// An apply.
pub struct Apply {
    /// File or folder.
    pub path: PathBuf,
    /// Whether to wait until it is in force everywhere.
    pub wait: bool,
    /// The revision it has to follow.
    pub expect: Option<u64>,
    /// Who applies it.
    pub by: String,
}

/// An explanation.
pub struct Explain {
    /// The request's id.
    pub request: String,
    /// Collected log lines to look in; at least one file.
    pub logs: Vec<PathBuf>,
}

fn usage(text: impl Into<String>) -> CommandError {
    CommandError::Usage(text.into())
}

impl TryFrom<Vec<String>> for Asked {
    type Error = CommandError;

    fn try_from(args: Vec<String>) -> Result<Self, CommandError> {
        let matches = parser().parse(args).map_err(|error| usage(error.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Asked::Help);
        }
        if matches.opt_present("version") {
            return Ok(Asked::Version);
        }
        let command = command(&matches)?;
        let instance = matches.opt_str("entry").or_else(|| std::env::var(INSTANCE_VARIABLE).ok());
        Ok(Asked::Run(Options { instance, json: matches.opt_present("json"), command }))
    }
}

fn parser() -> Parser {
    let mut parser = Parser::new();
    parser.optopt("e", "entry", "", "ADDR").optflag("", "json", "");
    parser.optflag("h", "help", "").optflag("V", "version", "");
    parser.optflag("", "wait", "").optopt("", "expect", "", "REVISION").optopt("", "by", "", "NAME");
    parser.optmulti("", "log", "", "FILE");
    // Operators' scripts say `check --policies`; there is nothing else to check.
    parser.optflag("", "policies", "");
    parser
}

fn command(matches: &Matches) -> Result<Command, CommandError> {
    let Some((name, rest)) = matches.free.split_first() else { return Err(usage("no command given")) };
    refuse_foreign(matches, name)?;
    match (name.as_str(), rest) {
        ("apply", [path]) => Ok(Command::Apply(apply(matches, path)?)),
        ("check", [path]) => Ok(Command::Check(path.into())),
        ("show", []) => Ok(Command::Show),
        ("status", []) => Ok(Command::Status),
        ("instances", []) => Ok(Command::Instances),
        ("targets", []) => Ok(Command::Targets),
        ("quota", []) => Ok(Command::Quota(None)),
        ("quota", [tenant]) => Ok(Command::Quota(Some(tenant.clone()))),
        ("why", pairs) if !pairs.is_empty() => {
            Ok(Command::Why(pairs.iter().map(|p| pair(p)).collect::<Result<_, _>>()?))
        }
        ("explain", [id]) => explain(matches, id),
        ("apply" | "check", _) => Err(usage(format!("{name} takes one file or folder"))),
        ("quota", _) => Err(usage("quota takes one tenant at most")),
        ("explain", _) => Err(usage("explain takes one request id")),
        ("why", _) => Err(usage("why takes KEY=VALUE arguments, host=NAME and path=PATH among them")),
        ("show" | "status" | "instances" | "targets", _) => Err(usage(format!("{name} takes no argument"))),
        _ => Err(usage(format!("unknown command {name:?}"))),
    }
}

fn apply(matches: &Matches, path: &str) -> Result<Apply, CommandError> {
    Ok(Apply {
        path: path.into(),
        wait: matches.opt_present("wait"),
        expect: revision(matches)?,
        by: matches.opt_str("by").or_else(|| std::env::var("USER").ok()).unwrap_or_else(|| "unknown".into()),
    })
}

fn explain(matches: &Matches, id: &str) -> Result<Command, CommandError> {
    let logs: Vec<PathBuf> = matches.opt_strs("log").into_iter().map(PathBuf::from).collect();
    if logs.is_empty() {
        return Err(usage("explain reads collected log lines: give --log FILE"));
    }
    Ok(Command::Explain(Explain { request: id.to_owned(), logs }))
}

/// Refuses options of other commands.
fn refuse_foreign(matches: &Matches, name: &str) -> Result<(), CommandError> {
    let owners = [("wait", "apply"), ("expect", "apply"), ("by", "apply"), ("log", "explain"), ("policies", "check")];
    for (option, owner) in owners {
        if matches.opt_present(option) && name != owner {
            return Err(usage(format!("--{option} belongs to {owner}")));
        }
    }
    Ok(())
}

fn revision(matches: &Matches) -> Result<Option<u64>, CommandError> {
    let parse = |text: String| text.parse().map_err(|_| usage("--expect takes a revision number"));
    matches.opt_str("expect").map(parse).transpose()
}

fn pair(text: &str) -> Result<(String, String), CommandError> {
    let (key, value) = text.split_once('=').ok_or_else(|| usage(format!("{text:?} is not KEY=VALUE")))?;
    Ok((key.to_owned(), value.to_owned()))
}
