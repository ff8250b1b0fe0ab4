//! Ports that are reserved for processes which start later.

use cardamomtally::util::ports::ReservedPorts;
use socket2::{Domain, Socket, Type};
use std::{
    io::ErrorKind,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
};

fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

#[test]
fn reserved_port_is_not_given_to_another_program() {
    let reserved = ReservedPorts::reserve(1).unwrap();
    let port = reserved.numbers().unwrap()[0];
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();

    let taken = other.bind(&loopback(port).into());

    assert_eq!(taken.unwrap_err().kind(), ErrorKind::AddrInUse);
}

#[test]
fn process_can_listen_on_a_port_that_is_reserved_for_it() {
    let reserved = ReservedPorts::reserve(2).unwrap();
    let ports = reserved.numbers().unwrap();

    let listener = TcpListener::bind(loopback(ports[0])).unwrap();
    let caller = TcpStream::connect(loopback(ports[0])).unwrap();
    let (_, from) = listener.accept().unwrap();

    assert_eq!(from, caller.local_addr().unwrap());
    assert_ne!(ports[0], ports[1]);
}
