//! Stand-ins for the scripts of the review. `review-standins NUMBER FOLDER`, from the repository's root, plays the case
//! of that number and writes `record.txt` into FOLDER; `TROUBLE=0` leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod case_foreign_entry;
mod case_second_answer;
mod case_slow_reader;
mod http;
mod instance;
mod record;
mod small;
mod store;
mod upstream;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

/// Where a case is played.
pub struct Scene {
    /// Settings and logs of the instances.
    pub folder: PathBuf,
    pub record: record::Record,
    /// Whether the disruption strikes.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins NUMBER FOLDER");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("lockloft-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let scene = Scene { folder: temporary.clone(), record: record::Record::new(), trouble };
    scene.record.add(if trouble { "with the disruption" } else { "without the disruption" });
    let outcome = match case.as_str() {
        "foreign-entry" => case_foreign_entry::play(&scene),
        "second-answer" => case_second_answer::play(&scene),
        "slow-reader" => case_slow_reader::play(&scene),
        _ => Outcome::CouldNotRun(format!("there is no case {case}")),
    };
    let code = match &outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CouldNotRun(reason) => {
            scene.record.add(format!("could not run: {reason}"));
            eprintln!("could not run: {reason}");
            2
        }
    };
    scene.record.add(format!("exit code {code}"));
    scene.record.write(&Path::new(folder).join("record.txt"));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    ExitCode::from(code)
}
