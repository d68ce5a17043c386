//! An upstream: it works on requests, answers them with signature and load, and answers health checks.

use crate::http::{Conn, Head};
use crate::record::Record;
use crate::store::Store;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// One request as the upstream read it.
pub struct Asked {
    pub head: Head,
    pub id: String,
}

/// What an upstream does with a request that expects it.
pub type Work = dyn Fn(&Upstream, &mut Conn, &Asked) -> std::io::Result<()> + Send + Sync;

#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub slots: u32,
    pub record: Record,
}

impl Upstream {
    /// Starts an upstream of a service in a zone, and registers it as ready.
    pub fn start(store: &Store, record: &Record, id: &str, service: &str, zone: &str, work: Arc<Work>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let address = listener.local_addr().expect("it is bound");
        let upstream = Self { id: id.to_owned(), slots: 6, record: record.clone() };
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (upstream, work) = (serving.clone(), work.clone());
                thread::spawn(move || serve(&upstream, stream, &*work));
            }
        });
        let value = format!(
            "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\
             \"capacity\":{}}},\"status\":{{\"state\":\"ready\",\"sequence\":1,\"warmup_ms\":0}}}}",
            upstream.slots
        );
        store.put(&format!("servers/{id}"), &value);
        upstream
    }

    /// The head of an answer to the request `id`.
    pub fn answer_head(&self, id: &str, length: usize) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nLockloft-Request-Id: {id}\r\nLockloft-Response-Signature: {}.{id}\r\n\
             Lockloft-Server-Load: 1,0,{}\r\nContent-Length: {length}\r\n\r\n",
            self.id, self.slots
        )
    }

    /// Runs the request for `time`, then answers with `body`.
    pub fn run(&self, conn: &mut Conn, asked: &Asked, time: Duration, body: &[u8]) -> std::io::Result<()> {
        self.record.add(format!("upstream {} begins to run {} ({})", self.id, asked.id, asked.head.line));
        thread::sleep(time);
        conn.stream.write_all(self.answer_head(&asked.id, body.len()).as_bytes())?;
        conn.stream.write_all(body)?;
        self.record.add(format!(
            "upstream {} has sent its whole answer to {}: 200, {} bytes",
            self.id,
            asked.id,
            body.len()
        ));
        Ok(())
    }
}

fn serve(upstream: &Upstream, stream: TcpStream, work: &Work) {
    let mut conn = Conn::new(stream);
    while let Ok(Some(head)) = conn.head() {
        if conn.body(head.length()).is_err() {
            return;
        }
        let expected = head.header("lockloft-expect-instance").unwrap_or(&upstream.id).to_owned();
        let Some(id) = head.header("lockloft-request-id").map(str::to_owned) else {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nLockloft-Instance-Id: {}\r\nLockloft-Server-Load: 0,0,{}\r\nContent-Length: 0\r\n\r\n",
                upstream.id, upstream.slots
            );
            if conn.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        };
        if expected != upstream.id {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nLockloft-Request-Id: {id}\r\nLockloft-Instance-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                upstream.id
            );
            if conn.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if work(upstream, &mut conn, &Asked { head, id }).is_err() {
            return;
        }
    }
}
