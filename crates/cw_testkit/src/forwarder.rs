//! A path between two processes that can lose track of its connections.

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
struct Path {
    gates: Mutex<Vec<Gate>>,
    stop: CancellationToken,
}

/// Forwards connections to an address; those that are open can be made silent for good.
#[derive(Debug)]
pub struct Forwarder {
    /// Where it listens.
    pub address: SocketAddr,
    path: Arc<Path>,
}

impl Forwarder {
    /// Starts to forward to `target`.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let path = Arc::<Path>::default();
        tokio::spawn(accept(listener, target, Arc::clone(&path)));
        Ok(Self { address, path })
    }

    /// Silences every open connection for good; new ones work.
    pub fn silence(&self) {
        let mut gates = self.path.gates.lock().expect("no panic under this lock");
        gates.drain(..).for_each(|gate| gate.close());
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.path.stop.cancel();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, path: Arc<Path>) {
    loop {
        let accepted = tokio::select! {
            () = path.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((near, _)) = accepted else {
            continue;
        };
        let gate = Gate::default();
        let mut gates = path.gates.lock().expect("no panic under this lock");
        gates.push(gate.clone());
        drop(gates);
        let stop = path.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = forward(near, target, gate) => {}
            }
        });
    }
}

async fn forward(near: TcpStream, target: SocketAddr, gate: Gate) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Small frames must leave at once, and a socket that cannot do so still works.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let mut near = GatedIo::new(near, gate.clone());
    let mut far = GatedIo::new(far, gate);
    // The ends notice by themselves that a connection has broken.
    let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
}
