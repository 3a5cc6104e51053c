//! TLS on both sides: accepted and rejected peers, and certificates that change while connections are open.

mod authority;

use authority::Authority;
use badgerwind_http::{
    ClientTls, Conn, Exchange, ExchangeError, Identity, Limits, Pool, PoolLimits, Response, ServerTls,
    TlsError,
};
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn identity((chain, key): &(String, String)) -> Identity<'_> {
    Identity { chain: chain.as_bytes(), key: key.as_bytes() }
}

/// Echoes bodies; each connection uses the configuration that is current when it is accepted.
fn server(tls: Arc<Mutex<ServerTls>>) -> SocketAddr {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let current = tls.lock().unwrap().clone();
            smol::spawn(async move {
                let Ok(stream) = current.accept(stream, Duration::from_secs(5)).await else { return };
                let mut conn = Conn::new(stream, Arc::new(Limits::default()));
                while let Ok(Some(head)) = conn.head().await {
                    let body = conn.body(&head).await.unwrap();
                    conn.respond(&Response::new(200, "", body), true).await.unwrap();
                }
            })
            .detach();
        }
    })
    .detach();
    address
}

fn pool(address: SocketAddr, tls: Option<ClientTls>) -> Pool {
    let time = Duration::from_secs(10);
    let pool = Pool::new(
        address,
        PoolLimits { max_connections: 2, connect_timeout: time, idle_timeout: time, max_body_bytes: 1 << 20 },
    );
    pool.set_tls(tls);
    pool
}

fn post(pool: &Pool, body: &[u8]) -> Result<Vec<u8>, ExchangeError> {
    let request = Exchange { method: "POST", target: "/".into(), headers: vec![], body: body.into() };
    smol::block_on(pool.exchange(&request)).map(|(_, body)| body)
}

#[test]
fn bodies_of_any_size_come_through_and_connections_are_used_again() {
    let authority = Authority::new();
    let tls = ServerTls::new(identity(&authority.sign("runner.test")), None).unwrap();
    let address = server(Arc::new(Mutex::new(tls)));
    let pool = pool(address, Some(ClientTls::new(authority.pem.as_bytes(), "runner.test", None).unwrap()));
    for size in [0, 1, 16_384, 16_385, 500_000] {
        let body = vec![b'x'; size];
        assert!(post(&pool, &body).unwrap() == body, "{size}");
        assert_eq!(pool.open_connections(), 1, "one connection is reused");
    }
}

#[test]
fn a_wrong_name_a_wrong_authority_or_plain_tcp_sends_nothing() {
    let (authority, other) = (Authority::new(), Authority::new());
    let tls = ServerTls::new(identity(&authority.sign("runner.test")), None).unwrap();
    let address = server(Arc::new(Mutex::new(tls)));
    for (pem, name) in [(&authority.pem, "else.test"), (&other.pem, "runner.test")] {
        let tls = ClientTls::new(pem.as_bytes(), name, None).unwrap();
        let got = post(&pool(address, Some(tls)), b"secret");
        assert!(matches!(&got, Err(ExchangeError::Connect(text)) if text.starts_with("TLS: ")), "{got:?}");
    }
    assert!(post(&pool(address, None), b"plain").is_err());
}

#[test]
fn a_server_that_asks_lets_only_its_own_clients_in() {
    let (authority, other) = (Authority::new(), Authority::new());
    let tls =
        ServerTls::new(identity(&authority.sign("runner.test")), Some(authority.pem.as_bytes())).unwrap();
    let address = server(Arc::new(Mutex::new(tls)));
    let trust = authority.pem.as_bytes();
    let ours = authority.sign("front.test");
    let client = ClientTls::new(trust, "runner.test", Some(identity(&ours))).unwrap();
    assert_eq!(post(&pool(address, Some(client)), b"in").unwrap(), b"in");
    let theirs = other.sign("front.test");
    for shown in [None, Some(identity(&theirs))] {
        let client = ClientTls::new(trust, "runner.test", shown).unwrap();
        assert!(post(&pool(address, Some(client)), b"out").is_err());
    }
}

#[test]
fn a_certificate_changes_while_connections_are_open() {
    let (old, new) = (Authority::new(), Authority::new());
    let server_tls = Arc::new(Mutex::new(ServerTls::new(identity(&old.sign("runner.test")), None).unwrap()));
    let address = server(server_tls.clone());
    let trusts = |a: &Authority| ClientTls::new(a.pem.as_bytes(), "runner.test", None).unwrap();
    let open = pool(address, Some(trusts(&old)));
    assert_eq!(post(&open, b"1").unwrap(), b"1");
    *server_tls.lock().unwrap() = ServerTls::new(identity(&new.sign("runner.test")), None).unwrap();
    assert_eq!(post(&open, b"2").unwrap(), b"2", "an open connection continues to work");
    open.close_idle();
    assert!(post(&open, b"3").is_err(), "a new connection gets the new certificate");
    open.set_tls(Some(trusts(&new)));
    assert_eq!(post(&open, b"4").unwrap(), b"4");
}

#[test]
fn errors_contain_no_bytes_of_the_key() {
    let authority = Authority::new();
    let (chain, key) = authority.sign("a.test");
    let (_, other) = authority.sign("b.test");
    let fails =
        |chain: &str, key: &str| ServerTls::new(identity(&(chain.into(), key.into())), None).unwrap_err();
    assert!(matches!(fails("", &key), TlsError::Pem { what: "certificate", .. }));
    assert!(matches!(fails(&chain, "whsec_nothing"), TlsError::Pem { what: "private key", .. }));
    let invalid = fails(&chain, &other);
    assert!(matches!(invalid, TlsError::Invalid(_)), "{invalid:?}");
    let inside = key.lines().nth(1).unwrap();
    for e in [fails("", &key), fails(&chain, &key.replace("BEGIN", "begin")), invalid] {
        assert!(!e.to_string().contains(inside) && !format!("{e:?}").contains(inside));
    }
    assert_eq!(
        ClientTls::new(authority.pem.as_bytes(), "no name", None).unwrap_err(),
        TlsError::Name("no name".into())
    );
}

#[test]
fn a_silent_client_times_out_in_the_handshake() {
    let authority = Authority::new();
    let tls = ServerTls::new(identity(&authority.sign("runner.test")), None).unwrap();
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let silent = smol::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let got = tls.accept(stream, Duration::from_millis(20)).await;
        assert_eq!(got.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
        drop(silent);
    });
}
