//! Named tasks, and what is known of their ends.
//!
//! A task that panics ends alone, and the process goes on without it. So each panic is a log line with
//! its place (`panic`), and the end of a task is a log line (`task_ended`) and a count. A lasting task
//! runs until the process ends, so that its return is reported as well; a passing one serves a
//! connection, a request or a call, and only its panic is.
//!
//! Owns the counts of ends and the last panic of each thread, on which all tasks of an instance run.
//! Relies on [`crate::telemetry::log`] to keep lines of [`FAULT_TARGET`] apart from all others.

use pin_project_lite::pin_project;
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::panic::PanicHookInfo;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::task::{JoinHandle, spawn_local};

/// Target of log lines about panics, which have a byte budget of their own.
pub const FAULT_TARGET: &str = "lockloft::fault";
/// Maximum length of a panic's message in log lines, characters: a message may contain a value of any
/// size.
const MAX_MESSAGE_LENGTH: usize = 512;

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskEnd {
    /// Its function returned.
    Returned,
    /// It panicked.
    Panicked,
}

impl TaskEnd {
    /// The name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            TaskEnd::Returned => "returned",
            TaskEnd::Panicked => "panicked",
        }
    }
}

/// How long a task is meant to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Span {
    /// Until the process ends.
    Lasting,
    /// For a connection, a request or a call.
    Passing,
}

/// A panic as the hook saw it.
#[derive(Clone, Debug)]
struct PanicReport {
    message: String,
    location: String,
}

/// How many tasks of a name ended in a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndCount {
    /// Name of the task.
    pub task: &'static str,
    /// How it ended.
    pub end: TaskEnd,
    /// How often.
    pub count: u64,
}

thread_local! {
    static CURRENT: Cell<Option<&'static str>> = const { Cell::new(None) };
    static LAST_PANIC: RefCell<Option<PanicReport>> = const { RefCell::new(None) };
    static ENDS: RefCell<BTreeMap<(&'static str, TaskEnd), u64>> = const { RefCell::new(BTreeMap::new()) };
    /// Lasting tasks that were started, and whether each runs.
    static LASTING: RefCell<BTreeMap<&'static str, bool>> = const { RefCell::new(BTreeMap::new()) };
}

/// Starts a task that is meant to run until the process ends.
pub fn spawn_lasting<F: Future<Output: 'static> + 'static>(name: &'static str, future: F) -> JoinHandle<F::Output> {
    LASTING.with_borrow_mut(|tasks| tasks.insert(name, true));
    spawn_local(Watched { name, span: Span::Lasting, future })
}

/// Starts a task for a connection, a request or a call.
pub fn spawn_passing<F: Future<Output: 'static> + 'static>(name: &'static str, future: F) -> JoinHandle<F::Output> {
    spawn_local(passing(name, future))
}

/// A passing task that the caller starts.
pub fn passing<F: Future>(name: &'static str, future: F) -> Watched<F> {
    Watched { name, span: Span::Passing, future }
}

/// The counts of ends, by task.
pub fn end_counts() -> Vec<EndCount> {
    ENDS.with_borrow(|ends| ends.iter().map(|(&(task, end), &count)| EndCount { task, end, count }).collect())
}

/// Names of the lasting tasks that have ended and were not started again.
pub fn ended() -> Vec<&'static str> {
    LASTING.with_borrow(|tasks| tasks.iter().filter(|(_, runs)| !**runs).map(|(task, _)| *task).collect())
}

/// Whether the lasting task of this name has ended and was not started again.
pub fn has_ended(name: &str) -> bool {
    LASTING.with_borrow(|tasks| tasks.get(name) == Some(&false))
}

pin_project! {
    /// A task whose end is reported.
    pub struct Watched<F> {
        name: &'static str,
        span: Span,
        #[pin]
        future: F,
    }
}

impl<F: Future> Future for Watched<F> {
    type Output = F::Output;

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let this = self.project();
        let guard = PollGuard::new(this.name, *this.span);
        let polled = this.future.poll(context);
        drop(guard);
        if polled.is_ready() && *this.span == Span::Lasting {
            record_end(this.name, *this.span, None);
        }
        polled
    }
}

/// Marks a task as the one that runs; dropped by a panic, it records the end of the task.
struct PollGuard {
    name: &'static str,
    span: Span,
    previous: Option<&'static str>,
}

impl PollGuard {
    fn new(name: &'static str, span: Span) -> Self {
        Self { name, span, previous: CURRENT.replace(Some(name)) }
    }
}

impl Drop for PollGuard {
    fn drop(&mut self) {
        CURRENT.set(self.previous);
        if std::thread::panicking() {
            let report = LAST_PANIC.take().unwrap_or_else(|| PanicReport::new("unknown", "unknown"));
            record_end(self.name, self.span, Some(report));
        }
    }
}

/// Counts and logs the end of a task.
fn record_end(task: &'static str, span: Span, panic: Option<PanicReport>) {
    let end = if panic.is_some() { TaskEnd::Panicked } else { TaskEnd::Returned };
    ENDS.with_borrow_mut(|ends| *ends.entry((task, end)).or_default() += 1);
    if span == Span::Lasting {
        LASTING.with_borrow_mut(|tasks| tasks.insert(task, false));
    }
    let how = end.as_str();
    match panic {
        Some(PanicReport { message, location }) => {
            tracing::error!(target: FAULT_TARGET, event = "task_ended", task, how, message, location);
        }
        None => tracing::info!(target: FAULT_TARGET, event = "task_ended", task, how),
    }
}

/// Has each panic of the process logged, in addition to what was printed before.
pub fn log_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        log_panic(info);
        print(info);
    }));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let location = info.location().map_or_else(|| "unknown".to_owned(), ToString::to_string);
    let report = PanicReport::new(message(info.payload()), &location);
    let (task, thread) = (CURRENT.get(), std::thread::current());
    let PanicReport { message, location } = &report;
    tracing::error!(target: FAULT_TARGET, event = "panic", task, thread = thread.name(), message, location);
    LAST_PANIC.set(Some(report));
}

/// The message of a panic; those of `panic!` and of failed checks are strings.
fn message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("no message")
}

impl PanicReport {
    fn new(message: &str, location: &str) -> Self {
        let message = message.chars().take(MAX_MESSAGE_LENGTH).collect();
        Self { message, location: location.to_owned() }
    }
}
