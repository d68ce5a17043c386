//! Serves one accepted connection until it ends, and closes it. It also ends if it is idle for too long, a
//! request head takes too long, or the other side takes no bytes of a response for too long.

use crate::clock::{Instant, sleep_until};
use crate::net::server::caller_body::CallerBody;
use crate::net::server::connections::{OpenOutput, PassingGuard};
use crate::net::server::handler::Handler;
use crate::net::server::limits::ConnectionLimits;
use crate::net::server::linger;
use crate::net::server::output::{Output, UnfinishedResponse};
use crate::net::server::progress::{ObservedBody, Phase, Progress};
use crate::net::server::read_ahead::early_request::EarlyRequest;
use crate::net::server::read_ahead::queue::Queue;
use crate::net::server::read_ahead::stream::ReadAheadStream;
use crate::net::server::socket::Socket;
use hyper::body::Body;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// Smallest limit on its read buffer that hyper accepts, bytes.
const MIN_READ_BUFFER_SIZE: usize = 8 * 1024;
/// Interval at which a watched connection reads how much of its output is unacknowledged: acknowledgements
/// wake no task.
const OUTPUT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves one connection until it ends.
pub async fn serve<S: Socket, H: Handler>(socket: S, handler: Rc<H>) {
    let limits = handler.limits();
    let progress = Rc::new(Progress::new());
    let open_output = handler.connections().open();
    let output = open_output.output();
    let queue = Rc::new(RefCell::new(Queue::new(handler.clone())));
    let stream = ReadAheadStream::new(socket, progress.clone(), output.clone(), queue.clone());
    let service = service_fn(|request: Request<_>| {
        let (mut parts, body) = request.into_parts();
        let framing = (parts.version, parts.method.clone());
        // Set here and not in the future below: hyper continues to read before it first polls that future.
        progress.enter(Phase::Busy);
        let early_request = queue.borrow_mut().record_request(&mut parts, &body);
        let request = Request::from_parts(parts, CallerBody::from(body));
        let (handler, progress, output, queue) = (handler.clone(), progress.clone(), output.clone(), queue.clone());
        async move {
            let mut response = respond(handler.clone(), early_request, request).await;
            // A response that was passed on may have an earlier version, which has no chunks; hyper lowers the
            // version where the request has an earlier one.
            *response.version_mut() = Version::HTTP_11;
            queue.borrow_mut().record_response(&mut response);
            progress.set_open_body(ends_with_connection(framing, &response));
            let tag = response.extensions_mut().remove().unwrap_or_default();
            output.begin(tag, H::held_bytes(response.body()));
            let passing = PassingGuard::new(handler.connections());
            Ok::<_, Infallible>(response.map(|body| ObservedBody::new(body, progress, output, passing)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head_bytes.max(MIN_READ_BUFFER_SIZE));
    let mut connection = builder.serve_connection(stream, service);
    handler.count_connections(1);
    run(Pin::new(&mut connection), &progress, &open_output, &limits).await;
    let socket = connection.into_parts().io.into_socket();
    match progress.has_open_body() {
        true => socket.reset(),
        false => linger::close(socket, output, open_output.connections(), limits.stall_time).await,
    }
    handler.count_connections(-1);
}

/// Whether only the end of the connection tells the other side where the body of a response ends: before
/// HTTP/1.1 there are no chunks.
fn ends_with_connection<B: Body>((version, method): (Version, Method), response: &Response<B>) -> bool {
    let has_body =
        method != Method::HEAD && !matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    version < Version::HTTP_11 && has_body && response.body().size_hint().exact().is_none()
}

/// The response of the early request, if there is one; otherwise of the request as hyper read it.
async fn respond<H: Handler>(
    handler: Rc<H>,
    early_request: Option<EarlyRequest<H>>,
    request: Request<CallerBody>,
) -> Response<H::Body> {
    let Some(early_request) = early_request else { return handler.handle(request).await };
    match early_request.response().await {
        Ok(response) => response,
        Err(error) => {
            tracing::error!(event = "early_request_failed", %error, "the request is processed again; report the error");
            handler.handle(request).await
        }
    }
}

/// Runs a connection until it ends or stays in a phase for too long. The reason is not logged: the other
/// side may close or reset a connection at any time, and the effect on a request is logged with the
/// request.
async fn run<C: Future>(
    mut connection: Pin<&mut C>,
    progress: &Progress,
    open_output: &OpenOutput,
    limits: &ConnectionLimits,
) {
    let (connections, output) = (open_output.connections(), open_output.output());
    loop {
        // Registered before the stage is read, so that no change is missed.
        let stage_changed = connections.stage_changed();
        if connections.are_closing() {
            return;
        }
        if connections.are_watched() {
            output.watch();
        }
        let latest = Instant::now() + if output.is_followed() { OUTPUT_CHECK_INTERVAL } else { limits.head_time };
        let next_check = close_at(progress, output, limits).map_or(latest, |at| at.min(latest));
        tokio::select! {
            _ = connection.as_mut() => return,
            () = sleep_until(next_check) => {}
            () = stage_changed => {}
        }
        if close_at(progress, output, limits).is_some_and(|at| at <= Instant::now()) {
            return log_unread(output);
        }
    }
}

/// When a connection is closed if nothing happens on it until then.
fn close_at(progress: &Progress, output: &Output, limits: &ConnectionLimits) -> Option<Instant> {
    let stalled_at = output.stalled_at(limits.stall_time);
    progress.deadline(limits).into_iter().chain(stalled_at).min()
}

/// Logs the first response of which bytes are lost because the other side has stopped reading.
fn log_unread(output: &Output) {
    let Some(response) = output.unfinished().into_iter().find(UnfinishedResponse::has_unwritten_bytes) else { return };
    let UnfinishedResponse { held, buffered, in_socket, .. } = response;
    tracing::info!(event = "answer_unread", id = response.id_text(), held, buffered, in_socket);
}
