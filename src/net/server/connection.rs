//! One accepted connection: served until its end, or closed where it is idle or sends
//! a head for too long.

use crate::clock::{Instant, sleep_until};
use crate::net::server::handler::Handler;
use crate::net::server::limits::ConnectionLimits;
use crate::net::server::progress::{ObservedBody, ObservedStream, Phase, Progress};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use tokio::net::TcpStream;

/// Smallest buffer for a request head that hyper accepts, bytes.
const MIN_HEAD_BUFFER: usize = 8 * 1024;

/// Serves one connection to its end.
pub async fn serve<H: Handler>(stream: TcpStream, handler: Rc<H>) {
    // Fails only on a socket that is closed already, which its first read reports.
    let _ = stream.set_nodelay(true);
    let limits = handler.limits();
    let progress = Rc::new(Progress::new());
    let stream = ObservedStream { io: TokioIo::new(stream), progress: progress.clone() };
    let service = service_fn(|request| {
        let (handler, progress) = (handler.clone(), progress.clone());
        async move {
            progress.enter(Phase::Busy);
            let answer = handler.answer(request).await;
            Ok::<_, Infallible>(answer.map(|body| ObservedBody { body, progress }))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER));
    let connection = pin!(builder.serve_connection(stream, service));
    handler.connections(1);
    run(connection, &progress, &limits).await;
    handler.connections(-1);
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
