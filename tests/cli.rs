//! The operators' tool from outside: output and exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A run of one of the programs.
struct Run {
    command: Command,
}

impl Run {
    fn lockloft(args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockloft"));
        command.args(args).env_remove("LOCKLOFT_ENTRY").current_dir(env!("CARGO_MANIFEST_DIR"));
        Self { command }
    }

    fn ends(&mut self, code: i32) -> Said {
        let output = self.command.output().unwrap();
        assert_eq!(output.status.code(), Some(code), "{}", Said::from(output.clone()).err);
        Said::from(output)
    }
}

struct Said {
    out: String,
    err: String,
}

impl From<Output> for Said {
    fn from(output: Output) -> Self {
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        Self { out: text(output.stdout), err: text(output.stderr) }
    }
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn policies_are_checked_offline() {
    let said = Run::lockloft(&["check", "--policies", "examples/policies.toml"]).ends(0);
    assert_eq!(said.out, "good: 4 policies\n");
    let bad = file("bad-policies.toml", "[[policy]]\nname = \"a\"\nplaces = {}\npriority = 3\n");
    let said = Run::lockloft(&["check", "--policies", bad.to_str().unwrap()]).ends(1);
    assert!(
        said.err.contains("bad-policies.toml:2: policy \"a\".priority") && said.err.contains("remedy"),
        "{}",
        said.err
    );
}

#[test]
fn an_instance_is_asked_only_what_it_answers() {
    let nobody = "127.0.0.1:1";
    Run::lockloft(&["--entry", nobody, "status"]).ends(4);
    for wrong in [
        &["--entry", nobody, "--server", nobody, "status"][..],
        &["--entry", nobody, "shifts"],
        &["--entry", nobody, "show", "--revision", "3"],
        &["--policies", "status"],
    ] {
        Run::lockloft(wrong).ends(2);
    }
}

#[test]
fn usage_errors_end_with_2() {
    for args in [&["fly"][..], &[], &["apply"], &["check", "a", "--wait"], &["show", "--revision", "x"], &["why", "x"]]
    {
        let said = Run::lockloft(args).ends(2);
        assert!(said.err.contains("see lockloft --help"), "{args:?}: {}", said.err);
    }
}

#[test]
fn without_an_instance_it_ends_with_4() {
    let said = Run::lockloft(&["--entry", "127.0.0.1:1", "status"]).ends(4);
    assert!(said.err.contains("no instance answers"), "{}", said.err);
}

#[test]
fn help_names_every_command() {
    let said = Run::lockloft(&["--help"]).ends(0);
    for command in ["apply", "check", "show", "status", "instances", "targets", "explain", "why"] {
        assert!(said.out.contains(&format!("\n    {command} ")), "{command} is missing");
    }
}

#[test]
fn explain_tells_a_request_from_the_lines_of_several_instances() {
    let lines = [
        "0.5 e-1 {\"timestamp\":\"2026-01-01T00:00:01.0Z\",\"level\":\"INFO\",\"event\":\"try_failed\",\"id\":\"r-1\",\"target\":\"t-1\",\"hall\":\"a-1\",\"fault\":\"not-executed\",\"after_ms\":4}",
        "{\"timestamp\":\"2026-01-01T00:00:01.5Z\",\"level\":\"INFO\",\"event\":\"request\",\"id\":\"r-1\",\"route\":\"buy\",\"service\":\"shop\",\"target\":\"t-2\",\"hall\":\"a-2\",\"load\":2.0,\"sends\":2,\"config\":7,\"view_age_ms\":300,\"outcome\":\"answered\",\"status\":200,\"took_ms\":160}",
        "{\"timestamp\":\"2026-01-01T00:00:01.6Z\",\"level\":\"INFO\",\"event\":\"request\",\"id\":\"r-2\",\"load\":0.0,\"sends\":0,\"config\":7,\"outcome\":\"full\",\"status\":503,\"took_ms\":1}",
    ];
    let one = file("entry-one.log", &format!("{}\n", lines[1]));
    let two = file("entry-two.log", &format!("{}\n{}\n", lines[0], lines[2]));
    let logs = ["--log", one.to_str().unwrap(), "--log", two.to_str().unwrap()];
    let said = Run::lockloft(&[&["explain", "r-1"], logs.as_slice()].concat()).ends(0);
    let first = said.out.find("target t-1 in a-1 said that it did not run the request").unwrap();
    let second = said.out.find("sent 2 time(s), last to t-2 of shop in a-2").unwrap();
    assert!(first < second, "{}", said.out);
    assert!(said.out.contains("It ended with 200 after 160 ms"), "{}", said.out);
    let said = Run::lockloft(&[&["explain", "r-2"], logs.as_slice()].concat()).ends(0);
    assert!(said.out.contains("both targets for its affinity key had no room"), "{}", said.out);
    let said = Run::lockloft(&[&["explain", "r-3"], logs.as_slice()].concat()).ends(1);
    assert!(said.err.contains("search the logs of all instances"), "{}", said.err);
}
