//! One exchange with a target, and its hedged form.

use crate::admit::{Entrant, Permit};
use crate::body::{OutBody, Watcher};
use crate::failure::{Failure, Outcome};
use crate::instance::Instance;
use crate::job::{Job, TIMEOUT};
use crate::load::TargetState;
use crate::pool::{Conn, SendError};
use crate::service::Objective;
use crate::view::View;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Tells the permit how its exchange ended.
pub struct Ending {
    permit: Option<Permit>,
    /// When the exchange began.
    pub started: Instant,
    over: bool,
}

impl Ending {
    /// The end of an exchange that began at `started`; relays hold no permit.
    pub fn new(permit: Option<Permit>, started: Instant) -> Self {
        Self { permit, started, over: false }
    }

    /// Nothing was sent: the slot is free at once.
    fn ended_unsent(&mut self) {
        self.over = true;
        self.permit = None;
    }
}

impl Watcher for Ending {
    fn ended(&mut self, whole: bool) {
        self.over = true;
        let Some(mut permit) = self.permit.take() else { return };
        if whole {
            let micros = self.started.elapsed().as_micros() as u64;
            permit.target.latency.observe(micros);
            permit.traffic.took.observe(micros);
            permit.traffic.hedge.observe(micros);
        } else {
            permit.cancel();
        }
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        if let (false, Some(permit)) = (self.over, &mut self.permit) {
            permit.cancel();
        }
    }
}

/// One exchange with one target.
pub struct Exchange {
    target: Arc<TargetState>,
    position: usize,
    ending: Ending,
    deadline: Instant,
}

/// The head of an answer, and what it came by.
pub struct Sent {
    /// The head.
    pub response: Response<Incoming>,
    /// The connection that the rest comes over.
    pub conn: Conn,
    /// The target.
    pub target: Arc<TargetState>,
    /// Its position in the service.
    pub position: usize,
    /// What is told when the rest has come.
    pub ending: Ending,
}

/// An exchange without an answer.
pub struct NotSent {
    /// Why.
    pub failure: Failure,
    /// The target.
    pub target: Arc<TargetState>,
    /// Its position in the service.
    pub position: usize,
    /// The request, where no byte of it left.
    pub unsent: Option<Box<Request<OutBody>>>,
}

impl Exchange {
    /// An exchange on the slot of `permit`.
    pub fn new(job: &Job, permit: Permit) -> Self {
        let (target, position) = (permit.target.clone(), permit.position);
        Self { target, position, ending: Ending::new(Some(permit), Instant::now()), deadline: job.deadline }
    }

    /// Sends the request and waits for the head of its answer.
    ///
    /// # Errors
    /// [`NotSent`].
    pub async fn send(mut self, mut request: Request<OutBody>) -> Result<Sent, NotSent> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        request.headers_mut().insert(TIMEOUT, millis(left));
        let sent = timeout_at(self.deadline.into(), self.target.pool.send(request)).await;
        let (target, position) = (self.target, self.position);
        let (failure, unsent) = match sent {
            Ok(Ok((response, conn))) => return Ok(Sent { response, conn, target, position, ending: self.ending }),
            Ok(Err(SendError::Unsent(request))) => {
                self.ending.ended_unsent();
                (Failure::Unreachable, Some(request))
            }
            Ok(Err(SendError::Lost)) => (Failure::Broken, None),
            Err(_) => (Failure::Silent, None),
        };
        Err(NotSent { failure, target, position, unsent })
    }
}

/// How long to wait for the head of an answer before a second copy is worth
/// sending: only for requests that may run twice, where latency is what
/// counts, and whose body is at hand.
pub fn hedge_delay(view: &View, job: &Job) -> Option<Duration> {
    let service = &view.world.services[job.ask.service];
    let fits = service.hedge && service.objective == Objective::Latency && job.is_sendable();
    if fits { view.routes[job.ask.service].traffic.hedge.get() } else { None }
}

/// Sends to a second target too where the first is slower than `delay`, a
/// slot is free at once and the retry budget reaches. The first head of an
/// answer wins; the other exchange is cancelled.
///
/// # Errors
/// [`NotSent`] where both failed.
pub async fn send_hedged(
    instance: &Arc<Instance>,
    view: &View,
    job: &mut Job,
    first: Exchange,
    request: Request<OutBody>,
    delay: Duration,
) -> Result<Sent, NotSent> {
    let mut avoid = job.avoid;
    avoid.insert(first.position);
    let mut first = std::pin::pin!(first.send(request));
    if let Ok(sent) = tokio::time::timeout(delay, first.as_mut()).await {
        return sent;
    }
    let entrant = Entrant {
        view,
        ask: &job.ask,
        priority: job.priority,
        deadline: job.deadline,
        patience: Duration::ZERO,
        avoid: &avoid,
    };
    let Some(permit) = entrant.spare(instance) else { return first.await };
    if !view.routes[job.ask.service].traffic.retries.spend() {
        return first.await;
    }
    let Some(copy) = job.request() else { return first.await };
    instance.metrics.retries.with_label_values(&["hedge"]).inc();
    let mut second = std::pin::pin!(Exchange::new(job, permit).send(copy));
    tokio::select! {
        sent = first.as_mut() => either(sent, second).await,
        sent = second.as_mut() => either(sent, first).await,
    }
}

/// The first answer, or the other's; of two failures the one that leaves more
/// open, since a copy that may have run is not undone by one that did not.
async fn either(
    sent: Result<Sent, NotSent>,
    other: impl Future<Output = Result<Sent, NotSent>>,
) -> Result<Sent, NotSent> {
    let Err(failed) = sent else { return sent };
    match other.await {
        Err(other) if other.failure.outcome() == Outcome::NotRun => Err(failed),
        result => result,
    }
}

fn millis(left: Duration) -> HeaderValue {
    HeaderValue::from(left.as_millis() as u64)
}
