//! A client that waits for a server on the local machine must not occupy the server's port by connecting to
//! itself.

use badgerwind_connect::connect;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The system cycles through its range of ephemeral ports, so every port is chosen within far fewer attempts.
const MAX_ATTEMPTS: usize = 200_000;
/// Number of ports to try, since another process may take one in the meantime.
const MAX_PORTS: usize = 8;

/// An address whose port the system may assign to an outgoing connection: it prefers odd ports for listeners
/// and even ports for connections.
fn ephemeral_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let port = listener.local_addr().unwrap().port();
    SocketAddr::from((Ipv4Addr::LOCALHOST, port & !1))
}

/// Whether any socket of the machine is connected to itself on this port, in any state.
fn has_self_connection(address: SocketAddr) -> bool {
    let end = format!("0100007F:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().any(|line| line.split_whitespace().skip(1).take(2).all(|column| column == end))
}

/// Connects repeatedly until a connection reaches itself; `None` if another process took the port.
fn force_self_connection(address: SocketAddr) -> Option<std::io::Error> {
    for _ in 0..MAX_ATTEMPTS {
        match smol::block_on(connect(address)) {
            Ok(stream) => {
                let local = stream.get_ref().local_addr().unwrap();
                assert_ne!(local, address, "a self-connection was returned as a connection to a server");
                return None;
            }
            Err(e) if e.to_string().contains("reached itself") => return Some(e),
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
            Err(_) => return None,
        }
    }
    panic!("no connection reached itself in {MAX_ATTEMPTS} attempts");
}

#[test]
fn a_connection_that_reaches_itself_is_refused_and_frees_the_port() {
    let found = (0..MAX_PORTS).find_map(|_| {
        let address = ephemeral_address();
        force_self_connection(address).map(|error| (address, error))
    });
    let (address, error) = found.expect("a port that no other process takes");
    assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
    assert!(!has_self_connection(address), "the port is not free for its server");
}
