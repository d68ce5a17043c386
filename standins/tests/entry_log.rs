//! The log of an entry instance never holds anything up.

use lockloft::entry::log::{Lines, spawn_writer};
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Standard output that nobody reads: each write waits to be let through.
struct Blocked {
    begun: Sender<usize>,
    let_through: Receiver<()>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.begun.send(bytes.len());
        let _ = self.let_through.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn with_its_output_blocked_lines_are_dropped_and_counted_and_nobody_waits() {
    let (begun, beginnings) = channel();
    let (let_through, gate) = channel();
    let writer = spawn_writer(Blocked { begun, let_through: gate });
    let lines = Lines::default();
    let line = [b'x'; 400];
    lines.add(&line);
    lines.hand_over(&writer);
    beginnings.recv_timeout(Duration::from_secs(5)).unwrap();
    let started = Instant::now();
    for _ in 0..50_000 {
        lines.add(&line);
        lines.hand_over(&writer);
    }
    assert!(started.elapsed() < Duration::from_secs(2), "adding lines waited: {:?}", started.elapsed());
    // Two bounded batches hold what was kept; all other lines are counted.
    let kept = 50_000 - lines.dropped();
    assert!(kept <= 2 * 256 * 1024 / 400, "{kept} lines were kept");
    drop(let_through);
    let batch = beginnings.recv_timeout(Duration::from_secs(5)).unwrap();
    assert!(batch > 0);
}

#[test]
fn lines_that_were_handed_over_are_written_in_their_order() {
    struct Collected(Sender<Vec<u8>>);
    impl Write for Collected {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            let _ = self.0.send(bytes.to_vec());
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let (sender, written) = channel();
    let writer = spawn_writer(Collected(sender));
    let lines = Lines::default();
    lines.add(b"one\n");
    lines.add(b"two\n");
    lines.hand_over(&writer);
    assert_eq!(written.recv_timeout(Duration::from_secs(5)).unwrap(), b"one\ntwo\n");
    assert_eq!(lines.dropped(), 0);
}
