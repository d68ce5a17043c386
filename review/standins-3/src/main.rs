//! Cases of the review that are scripts. `review-standins-3 CASE FOLDER`, from the root of the repository, plays a
//! case and writes FOLDER/record.txt. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run. With `TROUBLE=0` in the environment the disruption is left out.

mod early;
mod http;
mod json;
mod record;
mod refused;
mod share;
mod store;
mod system;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// What a case has shown.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// Nothing was sent to which the rule applies.
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(mut record) = Record::create(&Path::new(folder).join("record.txt")) else { return ExitCode::from(2) };
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let played = match case.as_str() {
        "early" => early::play(has_trouble, &mut record),
        "refused" => refused::play(has_trouble, &mut record),
        _ => return ExitCode::from(2),
    };
    let (code, text) = match played {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Ok(Verdict::NotRun) => (2, "the case did not run: no request succeeded".to_owned()),
        Err(error) => (2, format!("the case did not run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
