//! The fronts: where callers, other instances and operators connect.

pub mod caller;
pub mod operator;
pub mod relay;

use crate::body::AnswerBody;
use crate::instance::Instance;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause after a failed accept, such as when file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a front does with each request.
pub trait Front: Send + Sync + 'static {
    /// Answers one request of the connection from `from`.
    fn serve(&self, request: Request<Incoming>, from: SocketAddr) -> impl Future<Output = Response<AnswerBody>> + Send;
    /// The shared instance.
    fn instance(&self) -> &Arc<Instance>;
    /// Whether connections of this front count against the callers' bound.
    fn is_bounded(&self) -> bool;
}

/// Accepts connections until `stop` says so, one task for each.
pub async fn listen<F: Front>(listener: TcpListener, front: Arc<F>, mut stop: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(&mut stop) => return,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if front.is_bounded() && !front.instance().connect() {
            continue;
        }
        tokio::spawn(converse(stream, from, front.clone(), stop.clone()));
    }
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stopped| *stopped).await;
}

/// Serves one connection until it ends, or gracefully ends it on a stop.
async fn converse<F: Front>(stream: TcpStream, from: SocketAddr, front: Arc<F>, mut stop: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let limits = front.instance().settings.front;
    let answer = {
        let front = front.clone();
        move |request| {
            let front = front.clone();
            async move { Ok::<_, Infallible>(front.serve(request, from).await) }
        }
    };
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head_bytes.max(8 << 10))
        .half_close(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service_fn(answer));
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    if front.is_bounded() {
        front.instance().disconnect();
    }
}
