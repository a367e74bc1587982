//! The HTTP overhead of one message: bytes besides the body, and processor time.

use std::net::SocketAddr;
use std::time::Duration;

use cw_types::Revision;
use cw_wire::ReportBatch;
use cw_wire::path;
use cyclamenwharf::PeerClient;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::call_rate::ControlCluster;

/// The number of messages that are sent to measure processor time.
const MESSAGE_COUNT: u32 = 5_000;

/// The time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The HTTP overhead of one message.
#[derive(Clone, Debug, Serialize)]
pub(super) struct MessageCost {
    /// Bytes of the HTTP request and response besides the body, without TCP and IP headers.
    pub(super) overhead_bytes: u64,
    /// Processor time to send and receive an empty batch, on both sides together, in microseconds.
    pub(super) cpu_micros: f64,
    /// The number of messages that were sent.
    messages: u32,
}

/// Measures the cost by sending empty batches to the control state of an entry.
pub(super) async fn measure() -> MessageCost {
    let cluster = ControlCluster::start(1).await;
    let peer = cluster.controls[0].peer_address;
    let client = PeerClient::new(ControlCluster::SECRET);
    let batch = empty_batch();
    let start = cpu_time();
    for _ in 0..MESSAGE_COUNT {
        let sent = client
            .call::<_, ()>(peer, path::BATCHES, &batch, CALL_TIMEOUT)
            .await;
        sent.expect("a response");
    }
    let spent = cpu_time() - start;
    MessageCost {
        overhead_bytes: http_overhead(peer, &batch).await,
        cpu_micros: spent.as_secs_f64() * 1e6 / f64::from(MESSAGE_COUNT),
        messages: MESSAGE_COUNT,
    }
}

fn empty_batch() -> ReportBatch {
    ReportBatch {
        relay: "entry-0".parse().expect("a valid name"),
        sequence: 0,
        revision: Revision(0),
        reports: Vec::new(),
        loads: Vec::new(),
        silent: Vec::new(),
        processes: Vec::new(),
        forwarded: false,
        demands: Vec::new(),
    }
}

/// Counts the bytes of one call besides its body, with a proxy between client and server.
async fn http_overhead(peer: SocketAddr, batch: &ReportBatch) -> u64 {
    let listener = TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let proxy = tokio::spawn(async move {
        let (mut from, _) = listener.accept().await.expect("a connection");
        let mut to = TcpStream::connect(peer).await.expect("a connection");
        let mut total = 0;
        for _ in 0..2 {
            let mut buffer = vec![0; 1 << 16];
            let count = from.read(&mut buffer).await.expect("bytes");
            to.write_all(&buffer[..count])
                .await
                .expect("the peer accepts the bytes");
            total += count as u64;
            std::mem::swap(&mut from, &mut to);
        }
        total
    });
    let client = PeerClient::new(ControlCluster::SECRET);
    let sent = client.call::<_, ()>(address, path::BATCHES, batch, CALL_TIMEOUT);
    sent.await.expect("a response");
    let body = cw_wire::encode(batch)
        .expect("a batch can be encoded")
        .len() as u64;
    proxy.await.expect("the proxy does not panic") - body
}

/// Returns the user and system processor time of this process.
fn cpu_time() -> Duration {
    // `utime` and `stime` are the 12th and 13th fields after the command name, in ticks of 10 ms.
    const TICK: Duration = Duration::from_millis(10);
    let stat = std::fs::read_to_string("/proc/self/stat").expect("/proc is mounted");
    let (_, numbers) = stat
        .rsplit_once(')')
        .expect("the stat line has a command name in parentheses");
    let fields: Vec<&str> = numbers.split_whitespace().collect();
    let ticks: u32 = fields[11..13]
        .iter()
        .map(|field| field.parse::<u32>().expect("a tick count"))
        .sum();
    TICK * ticks
}
