//! Policy files that are broken on purpose: each is refused whole, and the
//! message names file, line, field and remedy to the letter.

use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/broken_policies")
}

/// Checks a path from its own folder, so that messages name it alone.
fn check(path: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lockloft"));
    command.args(["check", "--policies"]).arg(path.file_name().unwrap());
    command.current_dir(path.parent().unwrap()).output().unwrap()
}

/// What the tool says of a file that it must refuse.
fn refusal(path: &Path) -> String {
    let output = check(path);
    assert_eq!(output.status.code(), Some(1), "{}: {output:?}", path.display());
    assert!(output.stdout.is_empty(), "{}: {output:?}", path.display());
    String::from_utf8(output.stderr).unwrap()
}

fn scratch(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    for (file, text) in files {
        std::fs::write(folder.join(file), text).unwrap();
    }
    folder
}

/// `count` policies that are good one by one.
fn denials(count: usize) -> String {
    (0..count).map(|n| format!("[[policy]]\nname = \"p{n}\"\nplaces = {{ hall = \"h{n}\" }}\ndeny = true\n")).collect()
}

#[test]
fn each_broken_file_is_refused_with_its_own_message() {
    let mut messages = HashSet::new();
    for entry in std::fs::read_dir(folder()).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap();
        let text = std::fs::read_to_string(&path).unwrap();
        let expected = text.lines().next().unwrap().strip_prefix("# expect: ").unwrap();
        assert!(expected.contains("; remedy: "), "{name} expects no remedy");
        assert_eq!(refusal(&path), format!("lockloft: {name}:{expected}\n"));
        assert!(messages.insert(text), "{name} is another file once more");
    }
    assert!(messages.len() >= 40, "only {} files", messages.len());
}

#[test]
fn a_name_taken_in_another_file_is_refused_where_it_stands_again() {
    let one = "[[policy]]\nname = \"p\"\nplaces = {}\ndeny = true\n";
    let folder = scratch("two-files", &[("a.toml", one), ("b.toml", &format!("\n\n{one}"))]);
    let expected = "lockloft: b.toml:4: policy \"p\": the name \"p\" is taken by another policy; remedy: give one of them another name\n";
    assert_eq!(refusal(&folder), expected);
}

#[test]
fn one_policy_more_than_a_document_holds_is_refused() {
    let folder = scratch("many", &[("most.toml", &denials(128))]);
    let most = check(&folder.join("most.toml"));
    assert_eq!(String::from_utf8(most.stdout).unwrap(), "good: 128 policies\n");
    let folder = scratch("too-many", &[("more.toml", &denials(129))]);
    let expected = "lockloft: more.toml:514: policy \"p128\": more than 128 policies; remedy: split the deployment, or see docs/CAPACITY.md\n";
    assert_eq!(refusal(&folder.join("more.toml")), expected);
}

#[test]
fn a_file_that_cannot_be_read_is_named_with_a_remedy() {
    let path = folder().join("none.toml");
    let said = refusal(&path);
    assert!(said.starts_with("lockloft: none.toml: "), "{said}");
    assert!(said.ends_with("; remedy: name a readable file or folder\n"), "{said}");
}

#[test]
fn the_shipped_example_is_good() {
    let output = check(&Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/policies.toml"));
    assert_eq!((output.status.code(), output.stdout.as_slice()), (Some(0), b"good: 4 policies\n".as_slice()));
}
