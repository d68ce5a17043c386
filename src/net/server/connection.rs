//! One accepted connection: served until its end, or closed where it is idle or sends
//! a head for too long.

use crate::clock::{Instant, sleep_until};
use crate::net::server::caller_body::CallerBody;
use crate::net::server::handler::Handler;
use crate::net::server::limits::ConnectionLimits;
use crate::net::server::progress::{ObservedBody, Phase, Progress};
use crate::net::server::read_ahead::begun::Begun;
use crate::net::server::read_ahead::queue::Queue;
use crate::net::server::read_ahead::stream::AheadStream;
use crate::net::server::socket::Socket;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;

/// Smallest buffer for a request head that hyper accepts, bytes.
const MIN_HEAD_BUFFER: usize = 8 * 1024;

/// Serves one connection to its end.
pub async fn serve<S: Socket, H: Handler>(socket: S, handler: Rc<H>) {
    let limits = handler.limits();
    let progress = Rc::new(Progress::new());
    let queue = Rc::new(RefCell::new(Queue::new(handler.clone())));
    let stream = AheadStream::new(socket, progress.clone(), queue.clone());
    let service = service_fn(|request: Request<_>| {
        let (mut parts, body) = request.into_parts();
        // At once: hyper reads on before it asks for the answer.
        progress.enter(Phase::Busy);
        let begun = queue.borrow_mut().enter(&mut parts, &body);
        let request = Request::from_parts(parts, CallerBody::from(body));
        let (handler, progress, queue) = (handler.clone(), progress.clone(), queue.clone());
        async move {
            let mut response = answer(handler, begun, request).await;
            queue.borrow_mut().answered(&mut response);
            Ok::<_, Infallible>(response.map(|body| ObservedBody { body, progress }))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER));
    let connection = pin!(builder.serve_connection(stream, service));
    handler.count_connections(1);
    run(connection, &progress, &limits).await;
    handler.count_connections(-1);
}

/// The answer that is under way, or a new one.
async fn answer<H: Handler>(
    handler: Rc<H>,
    begun: Option<Begun<H>>,
    request: Request<CallerBody>,
) -> Response<H::Body> {
    let Some(begun) = begun else { return handler.handle(request).await };
    match begun.answer().await {
        Ok(response) => response,
        Err(error) => {
            tracing::error!(event = "early_request_failed", %error, "the request is begun anew; report the error");
            handler.handle(request).await
        }
    }
}

/// Runs a connection until it ends or stays in a phase for too long. How it ended is
/// not logged: others may close or break a connection whenever they like, and what
/// that means for a request is logged with the request.
async fn run<C: Future>(mut connection: Pin<&mut C>, progress: &Progress, limits: &ConnectionLimits) {
    loop {
        let latest = Instant::now() + limits.head_time;
        let look = progress.deadline(limits).map_or(latest, |deadline| deadline.min(latest));
        tokio::select! {
            _ = connection.as_mut() => return,
            () = sleep_until(look) => {}
        }
        if progress.deadline(limits).is_some_and(|deadline| deadline <= Instant::now()) {
            return;
        }
    }
}
