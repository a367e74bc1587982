//! A TCP forwarder whose open connections can stall without being closed.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::server::Gate;
use crate::server::GatedIo;

#[derive(Debug, Default)]
struct ForwarderState {
    gates: Mutex<Vec<Gate>>,
    stop: CancellationToken,
}

/// A TCP forwarder to one address. Its open connections can be stalled permanently, as by a
/// network device that loses its connection state.
#[derive(Debug)]
pub struct Forwarder {
    /// The address that the forwarder listens on.
    pub address: SocketAddr,
    state: Arc<ForwarderState>,
}

impl Forwarder {
    /// Starts forwarding to `target` from a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::<ForwarderState>::default();
        tokio::spawn(accept(listener, target, Arc::clone(&state)));
        Ok(Self { address, state })
    }

    /// Stalls every open connection permanently. Neither end is notified, and new connections work.
    pub fn stall_connections(&self) {
        let mut gates = self.state.gates.lock().expect("no panic under this lock");
        gates.drain(..).for_each(|gate| gate.close());
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.state.stop.cancel();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<ForwarderState>) {
    loop {
        let accepted = tokio::select! {
            () = state.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((client_stream, _)) = accepted else {
            continue;
        };
        let gate = Gate::default();
        let mut gates = state.gates.lock().expect("no panic under this lock");
        gates.push(gate.clone());
        drop(gates);
        let stop = state.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = forward(client_stream, target, gate) => {}
            }
        });
    }
}

async fn forward(client_stream: TcpStream, target: SocketAddr, gate: Gate) {
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    // Small frames are sent without delay. If the option cannot be set, the socket still works.
    let _ = client_stream.set_nodelay(true);
    let _ = target_stream.set_nodelay(true);
    let mut client_stream = GatedIo::new(client_stream, gate.clone());
    let mut target_stream = GatedIo::new(target_stream, gate);
    // Both ends detect a broken connection themselves, so the result is not needed.
    let _ = tokio::io::copy_bidirectional(&mut client_stream, &mut target_stream).await;
}
