//! Both programs from outside: output, exit codes, settings.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A run of one of the programs.
struct Run {
    command: Command,
}

impl Run {
    fn lockloft(args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockloft"));
        command
            .args(args)
            .env_remove("LOCKLOFT_SERVER")
            .env_remove("LOCKLOFT_ENTRY")
            .current_dir(env!("CARGO_MANIFEST_DIR"));
        Self { command }
    }

    fn lockloftd(args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockloftd"));
        command.args(args);
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

fn settings(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

const GOOD: &str = "name = \"a-1\"\nhall = \"a\"\ncluster = \"c\"\nsecret = \"sixteen letters or more\"\n\
[listen]\ncaller = \"127.0.0.1:1\"\nrelay = \"127.0.0.1:2\"\noperator = \"127.0.0.1:3\"\npeer = \"127.0.0.1:4\"\n\
[platform]\nkind = \"http\"\naddress = \"127.0.0.1:5\"\n";

#[test]
fn policies_for_entries_are_checked_offline() {
    let said = Run::lockloft(&["check", "--policies", "examples/entry/policies.toml"]).ends(0);
    assert_eq!(said.out, "good: 4 policies\n");
    let file = settings("bad-policies.toml", "[[policy]]\nname = \"a\"\nplaces = {}\npriority = 3\n");
    let said = Run::lockloft(&["check", "--policies", file.to_str().unwrap()]).ends(1);
    assert!(
        said.err.contains("bad-policies.toml:2: policy \"a\".priority") && said.err.contains("remedy"),
        "{}",
        said.err
    );
}

#[test]
fn an_entry_is_asked_only_what_it_answers() {
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
fn check_passes_both_examples() {
    for example in ["examples/ferry", "examples/utility"] {
        let said = Run::lockloft(&["check", example]).ends(0);
        assert!(said.out.starts_with("good: 3 regions, 6 halls, 3 services"), "{}", said.out);
    }
}

#[test]
fn check_prints_json() {
    let said = Run::lockloft(&["check", "examples/ferry", "--json"]).ends(0);
    let value: serde_json::Value = serde_json::from_str(&said.out).unwrap();
    assert_eq!(value["targets"], 45);
}

#[test]
fn check_refuses_a_broken_declaration_with_its_remedy() {
    let said = Run::lockloft(&["check", "src/declaration/broken/dangling-hall.toml"]).ends(1);
    assert!(said.err.contains("no hall is named") && said.err.contains("remedy: "), "{}", said.err);
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
fn without_a_daemon_it_ends_with_4() {
    let said = Run::lockloft(&["--server", "127.0.0.1:1", "status"]).ends(4);
    assert!(said.err.contains("no daemon answers"), "{}", said.err);
}

#[test]
fn help_names_every_command() {
    let said = Run::lockloft(&["--help"]).ends(0);
    for command in [
        "apply",
        "check",
        "diff",
        "show",
        "history",
        "status",
        "instances",
        "targets",
        "shifts",
        "explain",
        "why",
        "remove",
    ] {
        assert!(said.out.contains(&format!("\n    {command} ")), "{command} is missing");
    }
}

#[test]
fn explain_reads_collected_lines() {
    let line = r#"{"decision":"a-1-6b-1c","kind":"request","at_ms":0,"revision":7,"service":"booking","objective":"latency","caller":"10.1.0.1","labels":{"service":"booking"},"natural":"terminal","hall":"harbour","policies":[{"policy":"drain-terminal","action":"drain"}],"halls":[{"hall":"terminal","refusal":"drained","score":0},{"hall":"harbour","score":7000,"age_ms":900}],"result":"200","tries":1,"took_us":9000}"#;
    let log = settings("decisions.log", &format!("not json\n{line}\n"));
    let said = Run::lockloft(&["explain", "a-1-6b-1c", "--log", log.to_str().unwrap()]).ends(0);
    assert!(said.out.contains("It went to hall harbour, moved from terminal, the nearest by place."), "{}", said.out);
    assert!(said.out.contains("Not terminal: a drain policy selects all its targets."), "{}", said.out);
    assert!(said.out.contains("at most 900 ms old"), "{}", said.out);
    Run::lockloft(&["explain", "a-1-6b-1d", "--log", log.to_str().unwrap()]).ends(1);
}

#[test]
fn the_daemon_checks_its_settings() {
    let good = settings("good.toml", GOOD);
    Run::lockloftd(&["--settings", good.to_str().unwrap(), "--check"]).ends(0);
    let broken = [
        ("hall = \"a\"", "hall = \"a b\"", "hall: not a plain name"),
        ("secret = \"sixteen letters or more\"", "secret = \"short\"", "shorter than 16 bytes"),
        ("kind = \"http\"", "kind = \"paper\"", "unknown variant"),
        ("127.0.0.1:5", "nowhere", "invalid socket address"),
        ("[platform]", "[front]\nhead_bytes = 3\n[platform]", "front.head_bytes: below 1024"),
        (
            "[platform]",
            "[lookup]\nttl = \"9s\"\nkey_ttl = \"1s\"\n[platform]",
            "lookup.key_ttl: shorter than lookup.ttl",
        ),
        ("[platform]", "[log]\nlevel = \"a=b=c\"\n[platform]", "log.level"),
        ("[platform]", "colour = 3\n[platform]", "unknown field"),
    ];
    for (i, (from, to, expected)) in broken.into_iter().enumerate() {
        let path = settings(&format!("broken-{i}.toml"), &GOOD.replace(from, to));
        let said = Run::lockloftd(&["--settings", path.to_str().unwrap(), "--check"]).ends(1);
        assert!(said.err.contains(expected) && said.err.contains("remedy: "), "{expected}: {}", said.err);
    }
}

#[test]
fn the_daemon_names_an_address_it_cannot_have() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let text = GOOD.replace("127.0.0.1:1", &taken.local_addr().unwrap().to_string());
    let path = settings("taken.toml", &text);
    let said = Run::lockloftd(&["--settings", path.to_str().unwrap()]).ends(1);
    assert!(said.err.contains("listen.caller") && said.err.contains("remedy: "), "{}", said.err);
}

#[test]
fn explain_tells_a_request_from_the_lines_of_several_entries() {
    let lines = [
        "0.5 e-1 {\"timestamp\":\"2026-01-01T00:00:01.0Z\",\"level\":\"INFO\",\"event\":\"try_failed\",\"id\":\"r-1\",\"target\":\"t-1\",\"hall\":\"a-1\",\"fault\":\"not-executed\",\"after_ms\":4}",
        "{\"timestamp\":\"2026-01-01T00:00:01.5Z\",\"level\":\"INFO\",\"event\":\"request\",\"id\":\"r-1\",\"route\":\"buy\",\"service\":\"shop\",\"target\":\"t-2\",\"hall\":\"a-2\",\"load\":2.0,\"sends\":2,\"config\":7,\"view_age_ms\":300,\"outcome\":\"answered\",\"status\":200,\"took_ms\":160}",
        "{\"timestamp\":\"2026-01-01T00:00:01.6Z\",\"level\":\"INFO\",\"event\":\"request\",\"id\":\"r-2\",\"load\":0.0,\"sends\":0,\"config\":7,\"outcome\":\"full\",\"status\":503,\"took_ms\":1}",
    ];
    let one = settings("entry-one.log", &format!("{}\n", lines[1]));
    let two = settings("entry-two.log", &format!("{}\n{}\n", lines[0], lines[2]));
    let logs = ["--log", one.to_str().unwrap(), "--log", two.to_str().unwrap()];
    let said = Run::lockloft(&[&["explain", "r-1"], logs.as_slice()].concat()).ends(0);
    let first = said.out.find("target t-1 in a-1 said that it did not run the request").unwrap();
    let second = said.out.find("sent 2 time(s), last to t-2 of shop in a-2").unwrap();
    assert!(first < second, "{}", said.out);
    assert!(said.out.contains("It ended with 200 after 160 ms"), "{}", said.out);
    let said = Run::lockloft(&[&["explain", "r-2"], logs.as_slice()].concat()).ends(0);
    assert!(said.out.contains("both targets of its object had no room"), "{}", said.out);
    let said = Run::lockloft(&[&["explain", "r-3"], logs.as_slice()].concat()).ends(1);
    assert!(said.err.contains("search the logs of all instances"), "{}", said.err);
}
