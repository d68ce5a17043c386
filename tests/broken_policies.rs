//! Invalid policy files: each is rejected as a whole. After the names of program and file, the message
//! is exactly the one that the first line of the file expects, with line, field and remedy.

use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/broken_policies")
}

/// Checks a path from its parent directory, so that messages contain only its last component.
fn check(path: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lockloft"));
    command.args(["check", "--policies"]).arg(path.file_name().unwrap());
    command.current_dir(path.parent().unwrap()).output().unwrap()
}

/// The message with which the tool rejects a path.
fn error_message(path: &Path) -> String {
    let output = check(path);
    assert_eq!(output.status.code(), Some(1), "{}: {output:?}", path.display());
    assert!(output.stdout.is_empty(), "{}: {output:?}", path.display());
    String::from_utf8(output.stderr).unwrap()
}

fn write_files(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).unwrap();
    for (file, text) in files {
        std::fs::write(directory.join(file), text).unwrap();
    }
    directory
}

/// `count` policies, each of which is valid.
fn deny_policies(count: usize) -> String {
    (0..count).map(|n| format!("[[policy]]\nname = \"p{n}\"\nplaces = {{ hall = \"h{n}\" }}\ndeny = true\n")).collect()
}

#[test]
fn each_invalid_file_is_rejected_with_the_expected_message() {
    let mut texts = HashSet::new();
    for entry in std::fs::read_dir(directory()).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap();
        let text = std::fs::read_to_string(&path).unwrap();
        let expected = text.lines().next().unwrap().strip_prefix("# expect: ").unwrap();
        assert!(expected.contains("; remedy: "), "{name}: the expected message has no remedy");
        assert_eq!(error_message(&path), format!("lockloft: {name}:{expected}\n"));
        assert!(texts.insert(text), "{name} has the same content as another file");
    }
    assert!(texts.len() >= 40, "only {} files", texts.len());
}

#[test]
fn a_duplicate_name_in_another_file_is_rejected_at_its_second_location() {
    let one = "[[policy]]\nname = \"p\"\nplaces = {}\ndeny = true\n";
    let directory = write_files("two-files", &[("a.toml", one), ("b.toml", &format!("\n\n{one}"))]);
    let expected = "lockloft: b.toml:4: policy \"p\": the name \"p\" is taken by another policy; remedy: give one of them another name\n";
    assert_eq!(error_message(&directory), expected);
}

#[test]
fn one_policy_more_than_the_maximum_is_rejected() {
    let directory = write_files("many", &[("most.toml", &deny_policies(128))]);
    let largest = check(&directory.join("most.toml"));
    assert_eq!(String::from_utf8(largest.stdout).unwrap(), "good: 128 policies\n");
    let directory = write_files("too-many", &[("more.toml", &deny_policies(129))]);
    let expected = "lockloft: more.toml:514: policy \"p128\": more than 128 policies; remedy: split the deployment, or see docs/CAPACITY.md\n";
    assert_eq!(error_message(&directory.join("more.toml")), expected);
}

#[test]
fn an_unreadable_file_is_named_in_the_message_with_a_remedy() {
    let path = directory().join("none.toml");
    let message = error_message(&path);
    assert!(message.starts_with("lockloft: none.toml: "), "{message}");
    assert!(message.ends_with("; remedy: name a readable file or folder\n"), "{message}");
}

#[test]
fn the_example_file_is_valid() {
    let output = check(&Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/policies.toml"));
    assert_eq!((output.status.code(), output.stdout.as_slice()), (Some(0), b"good: 4 policies\n".as_slice()));
}
