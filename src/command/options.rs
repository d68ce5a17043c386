//! The tool's command line, checked once.

use super::entry::EntryCommand;
use super::error::CommandError;
use getopts::{Matches, Options as Parser};
use std::path::PathBuf;

/// Environment variable with the operator address of a daemon.
const SERVER: &str = "LOCKLOFT_SERVER";
/// Environment variable with the peers' address of an entry.
const ENTRY: &str = "LOCKLOFT_ENTRY";

/// The help text.
pub const HELP: &str = "\
Usage: lockloft [--server ADDR | --entry ADDR] [--json] COMMAND [ARGUMENTS]

Applies declarations and asks lockloft what it does and why.

Commands:
    apply PATH              apply the declaration in a file or folder
        --wait              wait until every hall has it in force
        --expect REVISION   refuse unless this revision is in force
        --by NAME           who applies it (default: $USER)
    check PATH              check a declaration without a daemon
        --policies          or the policies for entries on a platform
    diff PATH               what an apply would change
    show                    print the declaration in force
        --revision N        or that of an earlier revision
    history                 the latest revisions and who applied them
    status                  what the daemon knows of itself and all halls
    instances               all instances
    targets                 all targets, and the load of every hall
    shifts                  how far planned shifts have come
    explain ID              why a decision was made
        --log FILE          from collected decision lines
    why KEY=VALUE...        a dry decision: service=S [caller=IP] [LABEL=V...]
    remove NAME             release the reserve of a silent instance that is
                            surely gone

With --entry, what an entry on a platform is asked:
    apply PATH              apply policies (--wait, --expect, --by as above)
    show                    print the policies in force
    status, instances, targets
    why KEY=VALUE...        a dry decision: host=H path=P [method=M] [object=O]
                            [HEADER=V...]

Options:
    -e, --entry ADDR        peers' address of any entry (or LOCKLOFT_ENTRY)
    -s, --server ADDR       operator address of any daemon (or LOCKLOFT_SERVER)
        --json              print JSON
    -h, --help              print this help
    -V, --version           print the version

Exit codes:
    0  done
    1  refused: a bad declaration, an unknown name, a daemon that cannot
    2  the command line cannot be read
    3  another operator's change came first
    4  no daemon or entry answers
    5  --wait ran out of time; the declaration is applied

Examples:
    lockloft check examples/ferry
    lockloft --server 10.1.0.4:7003 apply examples/ferry --wait
    lockloft why service=booking caller=203.0.113.9 tier=kiosk
    lockloft explain batumi-terminal-1-6a2f-1c
    lockloft --entry 10.1.0.4:8544 apply policies.toml --wait
";

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
    /// Operator address of a daemon, as given.
    pub server: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
    /// What to do.
    pub command: Command,
}

/// What to do.
pub enum Command {
    /// Ask an entry on a platform, at this address.
    Entry(String, EntryCommand),
    /// Check policies for entries offline.
    CheckPolicies(PathBuf),
    /// Apply a declaration.
    Apply(Apply),
    /// Check a declaration offline.
    Check(PathBuf),
    /// Compare a declaration with the one in force.
    Diff(PathBuf),
    /// Print a declaration.
    Show(Option<u64>),
    /// List revisions.
    History,
    /// Print a daemon's state.
    Status,
    /// List instances.
    Instances,
    /// List targets.
    Targets,
    /// List planned shifts.
    Shifts,
    /// Explain a decision.
    Explain(Explain),
    /// Make a dry decision for these keys and values.
    Why(Vec<(String, String)>),
    /// Release a silent instance's reserve.
    Remove(String),
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
    /// The decision's id.
    pub decision: String,
    /// Collected lines to look in; none to ask the deciding instance.
    pub logs: Vec<PathBuf>,
}

fn usage(text: impl Into<String>) -> CommandError {
    CommandError::Usage(text.into())
}

impl TryFrom<Vec<String>> for Asked {
    type Error = CommandError;

    fn try_from(args: Vec<String>) -> Result<Self, CommandError> {
        let mut parser = Parser::new();
        parser.optopt("s", "server", "", "ADDR").optopt("e", "entry", "", "ADDR").optflag("", "json", "");
        parser.optflag("h", "help", "").optflag("V", "version", "");
        parser.optflag("", "wait", "").optopt("", "expect", "", "REVISION").optopt("", "by", "", "NAME");
        parser.optflag("", "policies", "").optopt("", "revision", "", "N").optmulti("", "log", "", "FILE");
        let matches = parser.parse(args).map_err(|e| usage(e.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Asked::Help);
        }
        if matches.opt_present("version") {
            return Ok(Asked::Version);
        }
        let server = matches.opt_str("server").or_else(|| std::env::var(SERVER).ok());
        let json = matches.opt_present("json");
        let command = match entry_address(&matches, server.is_some())? {
            Some(address) => Command::Entry(address, entry_command(&matches)?),
            None => command(&matches)?,
        };
        Ok(Asked::Run(Options { server, json, command }))
    }
}

fn command(matches: &Matches) -> Result<Command, CommandError> {
    let Some((name, rest)) = matches.free.split_first() else { return Err(usage("no command given")) };
    refuse_foreign(matches, name)?;
    let command = match (name.as_str(), rest) {
        ("apply", [path]) => Command::Apply(apply(matches, path)?),
        ("check", [path]) if matches.opt_present("policies") => Command::CheckPolicies(path.into()),
        ("check", [path]) => Command::Check(path.into()),
        ("diff", [path]) => Command::Diff(path.into()),
        ("show", []) => Command::Show(number(matches, "revision")?),
        ("history", []) => Command::History,
        ("status", []) => Command::Status,
        ("instances", []) => Command::Instances,
        ("targets", []) => Command::Targets,
        ("shifts", []) => Command::Shifts,
        ("explain", [id]) => {
            let logs = matches.opt_strs("log").into_iter().map(PathBuf::from).collect();
            Command::Explain(Explain { decision: id.clone(), logs })
        }
        ("why", pairs) if !pairs.is_empty() => Command::Why(pairs.iter().map(|p| pair(p)).collect::<Result<_, _>>()?),
        ("remove", [name]) => Command::Remove(name.clone()),
        ("apply" | "check" | "diff", _) => return Err(usage(format!("{name} takes one file or folder"))),
        ("explain", _) => return Err(usage("explain takes one decision id")),
        ("why", _) => return Err(usage("why takes KEY=VALUE arguments, service=NAME among them")),
        ("remove", _) => return Err(usage("remove takes one instance name")),
        ("show" | "history" | "status" | "instances" | "targets" | "shifts", _) => {
            return Err(usage(format!("{name} takes no argument")));
        }
        _ => return Err(usage(format!("unknown command {name:?}"))),
    };
    Ok(command)
}

fn apply(matches: &Matches, path: &str) -> Result<Apply, CommandError> {
    Ok(Apply {
        path: path.into(),
        wait: matches.opt_present("wait"),
        expect: number(matches, "expect")?,
        by: matches.opt_str("by").or_else(|| std::env::var("USER").ok()).unwrap_or_else(|| "unknown".into()),
    })
}

/// The address of the entry that is asked; none where a daemon is, or nobody.
fn entry_address(matches: &Matches, has_server: bool) -> Result<Option<String>, CommandError> {
    match matches.opt_str("entry") {
        Some(_) if matches.opt_present("server") => Err(usage("--server and --entry exclude each other")),
        Some(address) => Ok(Some(address)),
        None => {
            let offline = matches.free.first().is_some_and(|name| matches!(name.as_str(), "check" | "explain"));
            Ok(std::env::var(ENTRY).ok().filter(|_| !has_server && !offline))
        }
    }
}

fn entry_command(matches: &Matches) -> Result<EntryCommand, CommandError> {
    let Some((name, rest)) = matches.free.split_first() else { return Err(usage("no command given")) };
    refuse_foreign(matches, name)?;
    match (name.as_str(), rest) {
        ("apply", [path]) => Ok(EntryCommand::Apply(apply(matches, path)?)),
        ("show", []) if !matches.opt_present("revision") => Ok(EntryCommand::Show),
        ("status", []) => Ok(EntryCommand::Status),
        ("instances", []) => Ok(EntryCommand::Instances),
        ("targets", []) => Ok(EntryCommand::Targets),
        ("why", pairs) if !pairs.is_empty() => {
            Ok(EntryCommand::Why(pairs.iter().map(|p| pair(p)).collect::<Result<_, _>>()?))
        }
        ("show", _) => Err(usage("an entry shows the policies in force alone")),
        _ => Err(usage(format!("an entry is not asked {name:?} in this form"))),
    }
}

/// Options that only some commands take.
fn refuse_foreign(matches: &Matches, name: &str) -> Result<(), CommandError> {
    let owners = [
        ("wait", "apply"),
        ("expect", "apply"),
        ("by", "apply"),
        ("revision", "show"),
        ("log", "explain"),
        ("policies", "check"),
    ];
    for (option, owner) in owners {
        if matches.opt_present(option) && name != owner {
            return Err(usage(format!("--{option} belongs to {owner}")));
        }
    }
    Ok(())
}

fn number(matches: &Matches, name: &str) -> Result<Option<u64>, CommandError> {
    let parse = |text: String| text.parse().map_err(|_| usage(format!("--{name} takes a revision number")));
    matches.opt_str(name).map(parse).transpose()
}

fn pair(text: &str) -> Result<(String, String), CommandError> {
    let (key, value) = text.split_once('=').ok_or_else(|| usage(format!("{text:?} is not KEY=VALUE")))?;
    Ok((key.to_owned(), value.to_owned()))
}
