//! What only the inside of `peers.rs` shows.

use super::*;
use badgerwind_webhook::KeyKind;

#[test]
fn an_address_that_is_free_a_moment_later_is_bound() {
    let held = UdpSocket::bind("127.0.0.1:0").unwrap();
    let at = held.local_addr().unwrap();
    let (bound, ()) = (std::thread::spawn(move || bind(at)), std::thread::sleep(BINDS.1 * 2));
    drop(held);
    assert_eq!(bound.join().unwrap().unwrap().local_addr().unwrap(), at);
}

#[test]
fn a_message_changed_in_any_byte_is_passed_over() {
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
