//! Unit tests of `peers.rs`.

use super::*;
use badgerwind_webhook::KeyKind;

#[test]
fn bind_retries_until_the_address_is_free() {
    let occupied = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = occupied.local_addr().unwrap();
    let (bound, ()) = (std::thread::spawn(move || bind(address)), std::thread::sleep(BIND_RETRY_DELAY * 2));
    drop(occupied);
    assert_eq!(bound.join().unwrap().unwrap().local_addr().unwrap(), address);
}

#[test]
fn a_datagram_changed_in_any_byte_is_rejected() {
    let key = Key::generate(KeyKind::Shared).unwrap();
    let sealed = seal(&key, 3, 9, b"full 7").unwrap();
    assert_eq!(open(&key, &sealed), Some((3, 9, &b"full 7"[..])));
    for n in 0..sealed.len() {
        let mut other = sealed.clone();
        other[n] ^= 1;
        assert_eq!(open(&key, &other), None);
        assert_eq!(open(&key, &sealed[..n]), None);
    }
    assert_eq!(open(&Key::generate(KeyKind::Shared).unwrap(), &sealed), None);
    assert_eq!(open(&key, &seal(&key, 3, 9, &[0; 257]).unwrap()), None);
}
