//! A client that waits for a server on its own machine must not take the server's port.

use badgerwind_connect::connect;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The system walks through the ports of its range, so that far fewer tries than this reach each of them.
const MOST_TRIES: usize = 200_000;
/// Ports to try; one may be taken by another process meanwhile.
const MOST_PORTS: usize = 8;

/// A port from which the system serves connections: it gives listeners odd ports and connections even ones first.
fn port_of_connections() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let port = listener.local_addr().unwrap().port();
    SocketAddr::from((Ipv4Addr::LOCALHOST, port & !1))
}

/// Whether some socket of the machine is joined to itself at this port, in any state.
fn joined_to_itself(address: SocketAddr) -> bool {
    let end = format!("0100007F:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().any(|line| line.split_whitespace().skip(1).take(2).all(|word| word == end))
}

/// Connects until a connection reaches itself; `None` where another process took the port.
fn reach_itself(address: SocketAddr) -> Option<std::io::Error> {
    for _ in 0..MOST_TRIES {
        match smol::block_on(connect(address)) {
            Ok(stream) => {
                let own = stream.get_ref().local_addr().unwrap();
                assert_ne!(own, address, "a connection to itself was taken for one to a server");
                return None;
            }
            Err(e) if e.to_string().contains("reached itself") => return Some(e),
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
            Err(_) => return None,
        }
    }
    panic!("no connection reached itself in {MOST_TRIES} tries");
}

#[test]
fn a_connection_that_reaches_itself_is_refused_and_frees_the_port() {
    let reached = (0..MOST_PORTS).find_map(|_| {
        let address = port_of_connections();
        reach_itself(address).map(|error| (address, error))
    });
    let (address, error) = reached.expect("a port that nobody else takes");
    assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
    assert!(!joined_to_itself(address), "the port is free for its server");
}
