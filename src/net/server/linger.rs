//! Closes a connection so that the other side receives everything that was written to it (lingering close).
//!
//! The system resets a connection that is closed while received bytes are unread, or on which bytes arrive
//! after it was closed, and drops what the other side has not acknowledged. So the connection is first closed
//! for writing only, and what arrives is read and discarded until the other side has acknowledged everything.
//!
//! Owns the socket until it is closed. Relies on [`Output`] for what is unacknowledged.

use crate::clock::{Instant, sleep};
use crate::net::server::connections::Connections;
use crate::net::server::output::Output;
use crate::net::server::socket::Socket;
use std::future::poll_fn;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::ReadBuf;

/// Interval at which bytes are discarded and the output is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for which bytes are discarded once everything is acknowledged: a caller that is still sending
/// then gets the response and the end of the connection rather than a reset.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes that are discarded at once.
const READ_SIZE: usize = 16 * 1024;

/// What arrived since the last check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    Nothing,
    Bytes,
    /// The other side has closed the connection for writing.
    End,
    /// The connection is broken.
    Error,
}

/// Closes a connection. Returns once everything is acknowledged, or nothing was for `stall_time`, or all
/// connections are to close.
pub async fn close<S: Socket>(mut socket: S, output: &Output, connections: &Connections, stall_time: Duration) {
    output.close();
    // Before the end of the stream is sent, which the system counts as unacknowledged as well.
    output.record_unacknowledged(socket.unacknowledged());
    // Fails only if the connection is broken, which the next read reports.
    let _ = poll_fn(|context| Pin::new(&mut socket).poll_shutdown(context)).await;
    let closed_at = Instant::now();
    let mut finished_at = None;
    loop {
        // Registered before the stage is read, so that no change is missed.
        let stage_changed = connections.stage_changed();
        let input = poll_fn(|context| Poll::Ready(discard(&mut socket, context))).await;
        output.record_unacknowledged(socket.unacknowledged());
        let now = Instant::now();
        if output.in_socket() == 0 {
            finished_at.get_or_insert(now);
        }
        let is_stalled = now >= output.progressed_at().max(closed_at) + stall_time;
        let is_over = match finished_at {
            Some(finished_at) => input != Input::Bytes || now >= finished_at + DISCARD_TIMEOUT,
            None => input == Input::Error || is_stalled,
        };
        if is_over || connections.are_closing() {
            return;
        }
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = stage_changed => {}
        }
    }
}

/// Reads and discards what has arrived.
fn discard<S: Socket>(socket: &mut S, context: &mut Context<'_>) -> Input {
    let mut input = Input::Nothing;
    loop {
        let mut space = [MaybeUninit::uninit(); READ_SIZE];
        let mut read = ReadBuf::uninit(&mut space);
        match Pin::new(&mut *socket).poll_read(context, &mut read) {
            Poll::Pending => return input,
            Poll::Ready(Err(_)) => return Input::Error,
            Poll::Ready(Ok(())) if read.filled().is_empty() => return Input::End,
            Poll::Ready(Ok(())) => input = Input::Bytes,
        }
    }
}
