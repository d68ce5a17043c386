//! Runs one scene of the second independent review: `review-standins-2 SCENE FOLDER`. The exit code is 1 if the
//! rule was broken, 0 if it held, 2 if the scene could not run. `TROUBLE=0` leaves the disruption out.

mod caller;
mod instance;
mod record;
mod upstream;

mod broken_first;
mod busy_stop;
mod frozen_relays;
mod stale_forward;
mod unread_rest;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [scene, folder] = args.as_slice() else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let Ok(runtime) = tokio::runtime::Builder::new_multi_thread().enable_all().build() else {
        return ExitCode::from(2);
    };
    let result = runtime.block_on(async {
        match scene.as_str() {
            "busy-stop" => busy_stop::run(&folder, trouble).await,
            "stale-forward" => stale_forward::run(&folder, trouble).await,
            "frozen-relays" => frozen_relays::run(&folder, trouble).await,
            "broken-first" => broken_first::run(&folder, trouble).await,
            "unread-rest" => unread_rest::run(&folder, trouble).await,
            other => Err(format!("there is no scene {other}")),
        }
    });
    match result {
        Ok(true) => ExitCode::FAILURE,
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
