//! The operators' tool towards an instance: what it refuses, and the exit
//! code of each way to end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// An address at which nobody listens.
const NOBODY: &str = "127.0.0.1:1";

fn run(args: &[&str], variable: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lockloft"));
    command.args(args).env_remove("LOCKLOFT_SERVER").env_remove("LOCKLOFT_ENTRY");
    if let Some(address) = variable {
        command.env("LOCKLOFT_ENTRY", address);
    }
    command.output().unwrap()
}

/// Runs the tool, demands an exit code, and gives what it wrote to its error
/// output.
fn ends(args: &[&str], code: i32) -> String {
    let output = run(args, None);
    let said = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(code), "{args:?}: {said}");
    assert_eq!(output.stdout.is_empty(), code != 0, "{args:?}");
    said
}

fn asking<'a>(address: &'a str, args: &[&'a str]) -> Vec<&'a str> {
    [&["--entry", address], args].concat()
}

fn policies(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// An instance that answers every question alike.
fn instance(status: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 65_536]);
            let length = body.len();
            let _ = write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}");
        }
    });
    address
}

#[test]
fn an_unreadable_command_line_ends_with_2() {
    for args in [
        &[][..],
        &["fly"],
        &["apply"],
        &["apply", "a", "b"],
        &["apply", "a", "--expect", "x"],
        &["apply", "a", "--expect"],
        &["apply", "a", "--log", "f"],
        &["status", "now"],
        &["status", "--wait"],
        &["status", "--by", "anna"],
        &["instances", "all"],
        &["targets", "all"],
        &["show", "3"],
        &["show", "--revision", "3"],
        &["why"],
        &["why", "x"],
        &["why", "host=x", "--expect", "3"],
        &["history"],
        &["remove", "e-1"],
        &["status", "--colour"],
    ] {
        let said = ends(&asking(NOBODY, args), 2);
        assert!(
            said.starts_with("lockloft: ") && said.ends_with("; remedy: see lockloft --help\n"),
            "{args:?}: {said}"
        );
    }
    assert!(ends(&["--entry"], 2).contains("entry"));
    assert!(ends(&["check", "--policies"], 2).contains("check takes one file or folder"));
    assert!(ends(&["status", "--policies"], 2).contains("--policies belongs to check"));
    assert!(ends(&["explain"], 2).contains("explain takes one"));
}

#[test]
fn where_nobody_answers_it_ends_with_4() {
    let good = policies("nobody.toml", "");
    for args in [
        &["status"][..],
        &["instances"],
        &["targets"],
        &["show"],
        &["why", "host=h", "path=/p"],
        &["apply", good.to_str().unwrap()],
    ] {
        let said = ends(&asking(NOBODY, args), 4);
        assert!(said.contains(NOBODY) && said.contains("remedy: "), "{args:?}: {said}");
    }
}

#[test]
fn the_variable_names_the_instance_unless_a_command_needs_none() {
    assert_eq!(run(&["status"], Some(NOBODY)).status.code(), Some(4));
    let file = policies("offline.toml", "");
    assert_eq!(run(&["check", "--policies", file.to_str().unwrap()], Some(NOBODY)).status.code(), Some(0));
    let log = file.to_str().unwrap();
    assert_eq!(run(&["explain", "r-1", "--log", log], Some(NOBODY)).status.code(), Some(1));
}

#[test]
fn what_the_instance_refuses_ends_with_1_and_its_message() {
    let address = instance("404 Not Found", "{\"message\": \"no policies are in force\"}").to_string();
    assert_eq!(ends(&asking(&address, &["show"]), 1), "lockloft: no policies are in force\n");
}

#[test]
fn bad_policies_are_refused_before_anybody_is_asked() {
    let bad = policies("bad-apply.toml", "[[policy]]\nname = \"p\"\nplaces = {}\n");
    let said = ends(&asking(NOBODY, &["apply", bad.to_str().unwrap()]), 1);
    assert!(said.contains("bad-apply.toml:2: policy \"p\"") && said.contains("remedy: "), "{said}");
    let none = bad.with_file_name("none-of-this-name.toml");
    let said = ends(&asking(NOBODY, &["apply", none.to_str().unwrap()]), 1);
    assert!(said.ends_with("; remedy: name a readable file or folder\n"), "{said}");
}

#[test]
fn another_operators_change_ends_with_3_and_its_message() {
    let address = instance("409 Conflict", "{\"message\": \"revision 4 by nino came first\"}").to_string();
    let good = policies("late.toml", "");
    let said = ends(&asking(&address, &["apply", good.to_str().unwrap(), "--expect", "3"]), 3);
    assert_eq!(said, "lockloft: revision 4 by nino came first\n");
}

#[test]
fn an_answer_that_cannot_be_understood_ends_with_1_and_a_remedy() {
    for (status, body) in [("200 OK", "{}"), ("200 OK", "no json"), ("500 Broken", "no json")] {
        let address = instance(status, body).to_string();
        let said = ends(&asking(&address, &["status"]), 1);
        assert!(said.contains("cannot be understood") && said.contains("remedy: "), "{said}");
    }
}

#[test]
fn what_is_done_ends_with_0() {
    assert_eq!(run(&["--help"], None).status.code(), Some(0));
    let version = run(&["--version"], None);
    assert_eq!(version.stdout, format!("lockloft {}\n", env!("CARGO_PKG_VERSION")).into_bytes());
    let address = instance("200 OK", "[]").to_string();
    let output = run(&asking(&address, &["--json", "instances"]), None);
    assert_eq!((output.status.code(), output.stdout.as_slice()), (Some(0), b"[]\n".as_slice()));
}

#[test]
fn help_names_each_command_that_an_instance_answers() {
    let output = run(&["--help"], None);
    let help = String::from_utf8(output.stdout).unwrap();
    for word in ["apply", "check", "show", "status", "instances", "targets", "explain", "why"] {
        assert!(help.contains(&format!("    {word}")), "{word} is missing");
    }
    for code in 0..=5 {
        assert!(help.contains(&format!("\n    {code}  ")), "exit code {code} is missing");
    }
}
