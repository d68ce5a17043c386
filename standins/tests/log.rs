//! The log of an instance never holds anything up, and is bounded.

mod common;

use common::program;
use lockloft::telemetry::log::{Lines, spawn_writer};
use standins::site::{RouteSpec, Site, TestRequest};
use standins::target_server::TargetServer;
use standins::wait::wait_until;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// A rate that these tests do not reach, bytes a second.
const UNBOUNDED: u64 = 100_000_000;

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
    let lines = Lines::new(UNBOUNDED);
    let line = [b'x'; 400];
    lines.add(&line, Instant::now());
    lines.hand_over(&writer);
    beginnings.recv_timeout(Duration::from_secs(5)).unwrap();
    let started = Instant::now();
    for _ in 0..50_000 {
        lines.add(&line, Instant::now());
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
    let lines = Lines::new(UNBOUNDED);
    lines.add(b"one\n", Instant::now());
    lines.add(b"two\n", Instant::now());
    lines.hand_over(&writer);
    assert_eq!(written.recv_timeout(Duration::from_secs(5)).unwrap(), b"one\ntwo\n");
    assert_eq!(lines.dropped(), 0);
}

#[test]
fn under_load_lines_of_answered_requests_go_before_any_of_a_failure() {
    const RATE: u64 = 20_000;
    let lines = Lines::new(RATE);
    let line = [b'x'; 200];
    let started = Instant::now();
    let mut answered = 0;
    // A hundred and twenty answered requests and thirty failures a second.
    for step in 0..1_500 {
        let now = started + Duration::from_millis(step * 20 / 3);
        if step % 5 == 0 {
            lines.add(&line, now);
        } else if lines.takes_success(now) {
            lines.add(&line, now);
            answered += 1;
        }
    }
    assert_eq!(lines.dropped(), 0, "no line of a failure was lost");
    assert_eq!(lines.left_out(), 1_200 - answered);
    let bytes = (answered + 300) * 200;
    assert!(bytes <= RATE * 12, "{bytes} bytes in ten seconds, and two of a burst");
    assert!(bytes >= RATE * 9, "{bytes} bytes: the rate is used");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_of_requests_is_answered_and_its_lines_stay_within_the_rate() {
    const RATE: usize = 10_000;
    let site = Site::start(program()).await;
    let target = TargetServer::start("u-1", 50, Duration::from_millis(1)).await.unwrap();
    site.register(&target, "shop", "a-1");
    site.configure(1, &[RouteSpec::new("/look/", "safe", "shop")], &["shop"]);
    let mut instance = site.instance("e-1", "a-1");
    instance.edit_settings(|text| format!("{text}\n[log]\nbytes_per_second = {RATE}\n"));
    let started = Instant::now();
    instance.start();
    instance.wait_ready().await;
    for object in 0..400 {
        assert_eq!(TestRequest::get("/look/a").affinity(object % 7).send(instance.callers).await.unwrap().status, 200);
    }
    wait_until("the line of lines left out", || !instance.events("log_lines_left_out").is_empty()).await;
    let written = instance.log().len();
    let most = RATE as f64 * (started.elapsed().as_secs_f64() + 2.0);
    assert!((written as f64) < most, "{written} bytes in {:?}", started.elapsed());
    // The last batch may still be on its way to the file.
    let left_out = instance.metric("lockloft_entry_log_lines_left_out", "").await as usize;
    wait_until("each line is written or counted", || instance.events("request").len() + left_out == 400).await;
}
