//! Ports for processes that are started later.
//!
//! Processes that must know each other's ports before any of them runs cannot have them
//! chosen by the system. A port that was merely found free may be given to another
//! program before its process binds it. A reserved port is not: a socket stays bound to
//! it, but does not listen, so that a listener with `SO_REUSEADDR` can share the port.

use eyre::{WrapErr as _, eyre};
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr};

/// Ports of the loopback interface that are reserved until this value is dropped.
#[derive(Debug)]
pub struct ReservedPorts(Vec<Socket>);

impl ReservedPorts {
    /// Reserves free ports, which the system chooses.
    ///
    /// # Errors
    ///
    /// Returns an error if the system has no free port or no file descriptor left.
    pub fn reserve(count: usize) -> eyre::Result<Self> {
        let sockets: eyre::Result<_> = (0..count).map(|_n| bind_free()).collect();
        sockets.wrap_err("failed to reserve ports").map(Self)
    }

    /// Returns the numbers of the ports.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not tell them.
    pub fn numbers(&self) -> eyre::Result<Vec<u16>> {
        self.0.iter().map(number).collect()
    }
}

fn bind_free() -> eyre::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
    Ok(socket)
}

fn number(socket: &Socket) -> eyre::Result<u16> {
    let address = socket.local_addr()?.as_socket();
    let address = address.ok_or_else(|| eyre!("a reserved port has no IP address"))?;
    Ok(address.port())
}
