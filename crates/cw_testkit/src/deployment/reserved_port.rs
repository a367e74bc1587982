//! Ports that a process of a deployment keeps while it is stopped.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// A loopback port that no other socket can get while this value exists.
///
/// The socket is bound and never listens. A process that is given the address can bind and listen
/// beside it, since both sockets reuse addresses.
#[derive(Debug)]
pub(super) struct ReservedPort {
    /// The address of the port.
    pub(super) address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub(super) fn new() -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let address = socket.local_addr()?.as_socket();
        let address = address.ok_or_else(|| io::Error::other("the socket has no IP address"))?;
        Ok(Self {
            address,
            _socket: socket,
        })
    }
}
