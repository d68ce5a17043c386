//! A wire between processes: forwards connections to one address, and can be
//! cut or slowed for each pair of ends.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Which pairs of ends are cut, and how long bytes take between any two.
#[derive(Default)]
pub struct Net {
    cuts: Mutex<HashSet<(IpAddr, IpAddr)>>,
    changed: watch::Sender<u64>,
    delays: Mutex<Vec<(IpAddr, IpAddr, Duration)>>,
}

impl Net {
    /// A net without cuts or delays.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Cuts every pair of the two groups in both directions. Open connections
    /// stall, as on a link that drops packets; new ones hang.
    pub fn cut(&self, left: &[IpAddr], right: &[IpAddr]) {
        let mut cuts = self.cuts.lock().expect("no holder panics");
        for a in left {
            for b in right {
                cuts.insert((*a, *b));
                cuts.insert((*b, *a));
            }
        }
        drop(cuts);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Heals every cut.
    pub fn heal(&self) {
        self.cuts.lock().expect("no holder panics").clear();
        self.changed.send_modify(|n| *n += 1);
    }

    /// Sets the one-way delay between two ends.
    pub fn delay(&self, a: IpAddr, b: IpAddr, delay: Duration) {
        self.delays.lock().expect("no holder panics").push((a, b, delay));
    }

    fn is_cut(&self, a: IpAddr, b: IpAddr) -> bool {
        self.cuts.lock().expect("no holder panics").contains(&(a, b))
    }

    fn delay_of(&self, a: IpAddr, b: IpAddr) -> Duration {
        let delays = self.delays.lock().expect("no holder panics");
        let found = delays.iter().find(|(x, y, _)| (*x, *y) == (a, b) || (*x, *y) == (b, a));
        found.map_or(Duration::ZERO, |(_, _, d)| *d)
    }

    /// Opens a wire: connections to the address it returns, at IP `at`, go to
    /// `to`. The ends of a connection are its source address and `at`.
    pub async fn wire(self: &Arc<Self>, at: IpAddr, to: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((at, 0)).await?;
        let address = listener.local_addr()?;
        let net = self.clone();
        tokio::spawn(async move {
            loop {
                if let Ok((stream, from)) = listener.accept().await {
                    tokio::spawn(net.clone().carry(stream, from.ip(), at, to));
                }
            }
        });
        Ok(address)
    }

    async fn carry(self: Arc<Self>, near: TcpStream, from: IpAddr, at: IpAddr, to: SocketAddr) {
        self.open(from, at).await;
        let Ok(far) = TcpStream::connect(to).await else { return };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let delay = self.delay_of(from, at);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let there = self.clone().pump(near_read, far_write, from, at, delay);
        let back = self.clone().pump(far_read, near_write, from, at, delay);
        tokio::join!(there, back);
    }

    /// Waits while the pair is cut.
    async fn open(&self, a: IpAddr, b: IpAddr) {
        let mut changed = self.changed.subscribe();
        while self.is_cut(a, b) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    async fn pump(self: Arc<Self>, mut from: OwnedReadHalf, to: OwnedWriteHalf, a: IpAddr, b: IpAddr, delay: Duration) {
        let (sender, receiver) = mpsc::channel(256);
        let writer = tokio::spawn(self.clone().write(receiver, to, a, b));
        let mut buffer = vec![0; 64 << 10];
        while let Ok(size) = from.read(&mut buffer).await {
            let due = tokio::time::Instant::now() + delay;
            if sender.send((due, buffer[..size].to_vec())).await.is_err() || size == 0 {
                break;
            }
        }
        drop(sender);
        let _ = writer.await;
    }

    async fn write(
        self: Arc<Self>,
        mut receiver: mpsc::Receiver<(tokio::time::Instant, Vec<u8>)>,
        mut to: OwnedWriteHalf,
        a: IpAddr,
        b: IpAddr,
    ) {
        while let Some((due, bytes)) = receiver.recv().await {
            tokio::time::sleep_until(due).await;
            self.open(a, b).await;
            if bytes.is_empty() || to.write_all(&bytes).await.is_err() {
                break;
            }
        }
        let _ = to.shutdown().await;
    }
}
