//! Large answers of a target: a request whose path holds `/pack/SIZE` gets so many bytes. Behind the
//! size, `/slow` has them sent in pieces with pauses, `/cut` broken off in the middle, `/chunks` without
//! a length.
//!
//! Owns the bytes and their pace. A target keeps the request's slot while it writes the answer, and
//! cuts one that is not read for a while.

use super::Misbehaviour;
use super::message::{Answer, Wire};
use hyper::StatusCode;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Bytes that are written at a time.
const PIECE: usize = 16 * 1024;
/// Pause between pieces of an answer that is sent slowly.
const PAUSE: Duration = Duration::from_millis(20);
/// Time after which an answer that is not read is cut.
const UNREAD_TIME: Duration = Duration::from_secs(3);
/// What marks the size in a path.
const MARK: &str = "/pack/";

/// How an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    Usual,
    Slow,
    Cut,
    Chunks,
}

/// A large answer that a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct LargeAnswer {
    size: usize,
    pace: Pace,
}

impl LargeAnswer {
    /// What a request line asks for; `None` where it is no large answer.
    pub fn asked_by(line: &str) -> Option<Self> {
        let path = line.split(' ').nth(1)?;
        let (_, asked) = path.split_once(MARK)?;
        let (size, pace) = match asked.split_once('/') {
            None => (asked, Pace::Usual),
            Some((size, "slow")) => (size, Pace::Slow),
            Some((size, "cut")) => (size, Pace::Cut),
            Some((size, "chunks")) => (size, Pace::Chunks),
            Some(_) => return None,
        };
        Some(Self { size: size.parse().ok()?, pace })
    }

    /// What becomes of it where the target misbehaves; `None` where its misbehaviour takes its place.
    pub fn under(self, misbehaviour: Misbehaviour) -> Option<Self> {
        match misbehaviour {
            Misbehaviour::None => Some(self),
            Misbehaviour::Truncate => Some(Self { pace: Pace::Cut, ..self }),
            _ => None,
        }
    }

    /// Writes it; `None` where the connection is to be closed.
    pub async fn write(self, wire: &mut Wire, id: &str, load: &str) -> Option<()> {
        wire.limit_send_buffer();
        let signature = format!("signed-{id}");
        let headers = [("Lockloft-Response-Signature", signature.as_str())];
        let body = large_body(id, self.size);
        let answer = Answer { status: StatusCode::OK, id, load, headers: &headers, body: &body };
        if self.pace == Pace::Chunks {
            return write_chunks(wire, &answer).await;
        }
        wire.write(&answer.head()).await.then_some(())?;
        let sent = if self.pace == Pace::Cut { &body[..body.len() / 2] } else { &body[..] };
        for piece in sent.as_bytes().chunks(PIECE) {
            write_piece(wire, piece).await?;
            if self.pace == Pace::Slow {
                sleep(PAUSE).await;
            }
        }
        (self.pace != Pace::Cut).then_some(())
    }
}

/// Writes a piece; `None` where it is not read in time.
async fn write_piece(wire: &mut Wire, piece: &[u8]) -> Option<()> {
    let written = timeout(UNREAD_TIME, wire.write(piece)).await;
    written.is_ok_and(|whole| whole).then_some(())
}

/// Writes an answer without a length; `None` where it is not read in time.
async fn write_chunks(wire: &mut Wire, answer: &Answer<'_>) -> Option<()> {
    wire.write(&answer.head_of_chunks()).await.then_some(())?;
    for piece in answer.body.as_bytes().chunks(PIECE) {
        write_piece(wire, format!("{:x}\r\n", piece.len()).as_bytes()).await?;
        write_piece(wire, piece).await?;
        write_piece(wire, b"\r\n").await?;
    }
    write_piece(wire, b"0\r\n\r\n").await
}

/// The body of a large answer: letters that depend on their place, then the request's identity.
pub fn large_body(id: &str, size: usize) -> String {
    let letters = (0..size.saturating_sub(id.len())).map(|place| char::from(b'a' + (place / 7 % 26) as u8));
    letters.chain(id.chars()).collect()
}
