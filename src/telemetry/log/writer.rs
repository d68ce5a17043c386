//! The thread that writes log lines, so that a blocked output holds up only the log.
//!
//! Owns the output. Relies on batches from [`super::Lines::hand_over`].

use std::io::Write;
use std::sync::mpsc::{SyncSender, sync_channel};

/// Most batches handed over and not yet written. More would only hold memory while the
/// output is blocked; one is the least.
const MAX_BATCHES: usize = 1;

/// Starts a thread that writes each batch to `out`.
pub fn spawn_writer(mut out: impl Write + Send + 'static) -> SyncSender<Vec<u8>> {
    let (sender, batches) = sync_channel::<Vec<u8>>(MAX_BATCHES);
    std::thread::spawn(move || {
        for batch in batches {
            // A failed write of the log has nowhere to be logged, and must not stop
            // the instance; the next batch is tried.
            let _ = out.write_all(&batch).and_then(|()| out.flush());
        }
    });
    sender
}
