//! Evidence of a broken promise: the faults, runs and requests of a soak, as JSON lines beside the
//! instances' logs and with times in their format.
//!
//! Owns the file `observations.jsonl`. Relies on nothing but what was observed.

use super::observations::Observations;
use serde_json::{Value, json};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

/// Name of the file.
const FILE: &str = "observations.jsonl";

/// Writes what was observed into the folder with the logs.
///
/// # Errors
/// Any error of the file system.
pub fn write(folder: &Path, observations: &Observations) -> std::io::Result<()> {
    let clock = Clock { now: Instant::now(), unix: SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default() };
    let mut file = BufWriter::new(File::create(folder.join(FILE))?);
    for line in lines(observations, &clock) {
        writeln!(file, "{line}")?;
    }
    file.flush()
}

fn lines<'a>(observations: &'a Observations, clock: &'a Clock) -> impl Iterator<Item = Value> + 'a {
    let faults = observations.made.iter().map(|(fault, span)| {
        json!({"fault": format!("{fault:?}"), "from": clock.seconds(span.from), "to": clock.seconds(span.to)})
    });
    let requests = observations.requests.iter().map(|request| {
        json!({"request": request.id, "instance": request.instance, "key": request.api_key,
            "sent": clock.seconds(request.sent), "ended": clock.seconds(request.ended), "status": request.status})
    });
    let targets = observations.incarnations.iter().enumerate();
    let runs = targets.flat_map(move |(number, target)| {
        let line = move |run: &crate::target_server::Run| {
            json!({"run": run.id, "tenant": run.tenant, "at": clock.seconds(run.at), "target": number, "cut": run.cut,
                "breaks_off": run.breaks_off})
        };
        target.runs.iter().map(line)
    });
    faults.chain(requests).chain(runs)
}

/// Converts times of the soak to those of the logs.
struct Clock {
    now: Instant,
    unix: Duration,
}

impl Clock {
    /// Seconds since the Unix epoch.
    fn seconds(&self, at: Instant) -> f64 {
        self.unix.as_secs_f64() - self.now.saturating_duration_since(at).as_secs_f64()
    }
}
