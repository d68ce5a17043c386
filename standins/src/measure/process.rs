//! What a process uses, from `/proc`.

/// Clock ticks a second of `/proc/PID/stat`.
const TICKS: f64 = 100.0;
/// Bytes of a page.
const PAGE: u64 = 4_096;

/// Processor time of a process, in seconds.
pub fn cpu_seconds(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<f64> = rest.split_whitespace().map(|f| f.parse().unwrap_or(0.0)).collect();
    // Fields 14 and 15 of the whole line, of which two come before the rest.
    fields.get(11).unwrap_or(&0.0) / TICKS + fields.get(12).unwrap_or(&0.0) / TICKS
}

/// Resident memory of a process, in bytes.
pub fn resident(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|f| f.parse().ok()).unwrap_or(0);
    pages * PAGE
}
