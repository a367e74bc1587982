//! What one message costs in HTTP: bytes around the body, and processor time.

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

use super::calls::Place;

/// How many messages are sent for the measurement.
const MESSAGES: u32 = 5_000;

/// How long a message may take.
const LIMIT: Duration = Duration::from_secs(5);

/// What one message costs.
#[derive(Clone, Debug, Serialize)]
pub(super) struct MessageCost {
    /// Bytes of HTTP around the body, there and back, without those of TCP and IP.
    pub(super) overhead_bytes: u64,
    /// Processor time of sending and receiving an empty batch, both sides together.
    pub(super) cpu_micros: f64,
    /// How many messages were sent.
    messages: u32,
}

/// Sends empty batches to an entry's control state.
pub(super) async fn measure() -> MessageCost {
    let place = Place::start(1).await;
    let peer = place.controls[0].peers;
    let client = PeerClient::new(Place::SECRET);
    let batch = empty();
    let start = cpu();
    for _ in 0..MESSAGES {
        let sent = client
            .call::<_, ()>(peer, path::BATCHES, &batch, LIMIT)
            .await;
        sent.expect("an answer");
    }
    let spent = cpu() - start;
    MessageCost {
        overhead_bytes: overhead(peer, &batch).await,
        cpu_micros: spent.as_secs_f64() * 1e6 / f64::from(MESSAGES),
        messages: MESSAGES,
    }
}

fn empty() -> ReportBatch {
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

/// Counts the bytes of one call on their way through a relay of bytes.
async fn overhead(peer: SocketAddr, batch: &ReportBatch) -> u64 {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let counted = tokio::spawn(async move {
        let (mut from, _) = listener.accept().await.expect("a connection");
        let mut to = TcpStream::connect(peer).await.expect("a connection");
        let mut total = 0;
        for _ in 0..2 {
            let mut buffer = vec![0; 1 << 16];
            let count = from.read(&mut buffer).await.expect("bytes");
            to.write_all(&buffer[..count]).await.expect("sent");
            total += count as u64;
            std::mem::swap(&mut from, &mut to);
        }
        total
    });
    let client = PeerClient::new(Place::SECRET);
    let sent = client.call::<_, ()>(address, path::BATCHES, batch, LIMIT);
    sent.await.expect("an answer");
    let body = cw_wire::encode(batch).expect("a message").len() as u64;
    counted.await.expect("a count") - body
}

/// Returns the processor time of this process.
fn cpu() -> Duration {
    // The second and third numbers after the name, in ticks of 10 ms.
    const TICK: Duration = Duration::from_millis(10);
    let stat = std::fs::read_to_string("/proc/self/stat").expect("a process file system");
    let (_, numbers) = stat.rsplit_once(')').expect("a name in parentheses");
    let fields: Vec<&str> = numbers.split_whitespace().collect();
    let ticks: u32 = fields[11..13]
        .iter()
        .map(|field| field.parse::<u32>().expect("a number"))
        .sum();
    TICK * ticks
}
