use super::{Declaration, DeclarationError, Sources};
use std::collections::HashSet;
use std::path::Path;

fn broken() -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/declaration/broken");
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        files.push((name, std::fs::read_to_string(path).unwrap()));
    }
    files
}

#[test]
fn each_broken_declaration_is_refused_with_its_own_message() {
    let mut messages = HashSet::new();
    let files = broken();
    assert!(files.len() >= 30);
    for (name, text) in files {
        let expected = text.lines().next().unwrap().strip_prefix("# expect: ").unwrap().to_owned();
        let error = Declaration::try_from(&Sources::single(&name, &text)).expect_err(&name);
        let message = error.to_string();
        assert!(message.contains(&expected), "{name}: {message}");
        assert!(message.contains("remedy: "), "{name}: {message}");
        assert!(message.starts_with(&name), "{name}: {message}");
        assert!(messages.insert(message.replace(&name, "")), "{name} has the message of another");
    }
}

#[test]
fn an_error_names_file_line_and_field() {
    let text = "[[region]]\nname = \"batumi\"\n\n[[hall]]\nname = \"terminal\"\nregion = \"poti\"\n";
    let error = Declaration::try_from(&Sources::single("halls.toml", text)).unwrap_err();
    let DeclarationError::Dangling { place, .. } = &error else { panic!("{error}") };
    assert_eq!((place.file.as_str(), place.line, place.field.as_str()), ("halls.toml", 5, "hall \"terminal\".region"));
}

#[test]
fn both_examples_pass() {
    for (name, halls, services) in [("ferry", 6, 3), ("utility", 6, 3)] {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name);
        let world = Declaration::try_from(&Sources::read(&folder).unwrap()).unwrap();
        assert_eq!((world.halls.len(), world.services.len()), (halls, services), "{name}");
        assert!(world.targets.len() >= 44, "{name}");
    }
}
