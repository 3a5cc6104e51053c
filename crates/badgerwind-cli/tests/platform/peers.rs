//! Datagrams between front ends.

use crate::rig::*;
use badgerwind_standins::platform::executor::succeed;
use badgerwind_standins::platform::web::WebRequest;
use badgerwind_standins::reserved::unused_address;
use serde_json::json;
use std::net::UdpSocket;
use std::time::Duration;

/// A front end sends its peers short datagrams from its own address. Datagrams from other senders, and
/// malformed or too long ones, do not disturb it.
#[test]
fn peers_get_short_datagrams_and_those_of_other_senders_are_ignored() {
    let all = UdpSocket::bind("127.0.0.1:0").unwrap();
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = unused_address();
    let mut rig = Rig::start_with(vec![Box::new(succeed)], |c| {
        c["settings"]["allowed"]["peers"] = json!(true);
        c["settings"]["peersTotal"] = json!(2);
        c["peer_listen"] = json!(own);
        c["peers"] = json!([own, peer.local_addr().unwrap()]);
        c["peers_all"] = json!(all.local_addr().unwrap());
    });
    for bytes in [&[0u8; 1][..], &[0xff; 256], &[7; 1400], &[]] {
        for from in [&peer, &stranger] {
            from.send_to(bytes, own).unwrap();
        }
    }
    assert_eq!(rig.call(&WebRequest::new(1)).status, 200);
    let mut buf = [0u8; 2048];
    for _ in 0..2 {
        let (n, from) =
            peer.recv_from(&mut buf).expect("a datagram with rates of tenants and loads of executors");
        assert_eq!((n, from), (1 + 4 + 4, own), "one tenant, one executor");
    }
    assert!(rig.is_running());
}
