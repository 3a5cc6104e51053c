//! Server and client connections over loopback sockets.

use badgerwind_http::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Answers each request with its method, target and body; never answers `/slow`.
async fn echo(listener: TcpListener, limits: Limits) {
    let limits = Arc::new(limits);
    while let Ok((stream, _)) = listener.accept().await {
        let limits = limits.clone();
        smol::spawn(async move {
            let mut conn = Conn::new(stream, limits);
            loop {
                let refused = match conn.head().await {
                    Ok(Some(head)) => match conn.body(&head).await {
                        Ok(_) if head.target == "/slow" => {
                            conn.closed().await;
                            return;
                        }
                        Ok(body) => {
                            let text =
                                [format!("{} {} ", head.method, head.target).as_bytes(), &body].concat();
                            let keep = head.keeps_alive();
                            let sent = conn.respond(&Response::new(200, "text/plain", text), keep).await;
                            if sent.is_err() || !keep {
                                return conn.close().await;
                            }
                            continue;
                        }
                        Err(e) => e,
                    },
                    Ok(None) => return conn.close().await,
                    Err(e) => e,
                };
                if let Some(status) = refused.status() {
                    let _ = conn.respond(&Response::new(status, "", Vec::new()), false).await;
                }
                return conn.close().await;
            }
        })
        .detach();
    }
}

fn server(limits: Limits) -> SocketAddr {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(echo(listener, limits)).detach();
    address
}

/// Sends raw bytes, and reads until the server closes the connection.
fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    smol::block_on(async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut out = Vec::new();
        stream.read_to_end(&mut out).await.unwrap();
        String::from_utf8(out).unwrap()
    })
}

fn limits() -> Limits {
    Limits { max_head_bytes: 512, max_headers: 8, max_body_bytes: 64, ..Limits::default() }
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let got = raw(
        server(limits()),
        b"POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabcPOST /2 HTTP/1.1\r\nhost: a\r\n\
          transfer-encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\nGET /3 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    );
    let at = |text: &str| got.find(text).unwrap_or_else(|| panic!("{text} not in {got}"));
    assert!(at("POST /1 abc") < at("POST /2 de") && at("POST /2 de") < at("GET /3 "));
}

#[test]
fn refused_messages_get_a_status_and_a_close() {
    let address = server(limits());
    for (bytes, status) in [
        (&b"BAD\r\n\r\n"[..], "400"),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: a\nb\r\n\r\n", "400"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 65\r\n\r\n", "413"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n50\r\n", "413"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "400"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n", "501"),
        (&[b'x'; 600], "431"),
    ] {
        let got = raw(address, bytes);
        assert!(got.starts_with(&format!("HTTP/1.1 {status} ")), "{got}");
        assert!(got.contains("connection: close"));
    }
}

#[test]
fn slow_heads_and_bodies_get_408_and_idle_clients_no_response() {
    let quick = Duration::from_millis(50);
    let address =
        server(Limits { head_timeout: quick, body_timeout: quick, idle_timeout: quick, ..limits() });
    assert!(raw(address, b"GET / HT").starts_with("HTTP/1.1 408 "));
    let body = raw(address, b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\na");
    assert!(body.starts_with("HTTP/1.1 408 "));
    assert_eq!(raw(address, b""), "");
}

#[test]
fn a_client_that_expects_100_continue_gets_it() {
    let address = server(limits());
    smol::block_on(async {
        let mut s = TcpStream::connect(address).await.unwrap();
        let head = b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\nconnection: close\r\ncontent-length: 2\r\n\r\n";
        s.write_all(head).await.unwrap();
        let mut interim = [0u8; 25];
        s.read_exact(&mut interim).await.unwrap();
        assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
        s.write_all(b"hi").await.unwrap();
        let mut rest = String::new();
        s.read_to_string(&mut rest).await.unwrap();
        assert!(rest.ends_with("POST / hi"), "{rest}");
    });
}

fn get(target: &str) -> Exchange {
    Exchange { method: "GET", target: target.into(), headers: vec![], body: Arc::from(&b""[..]) }
}

fn pool(address: SocketAddr, max_connections: usize) -> Pool {
    let second = Duration::from_secs(1);
    Pool::new(
        address,
        PoolLimits { max_connections, connect_timeout: second, idle_timeout: second, max_body_bytes: 1000 },
    )
}

#[test]
fn a_pool_uses_its_connections_again_and_stays_within_its_limit() {
    let pool = pool(server(limits()), 2);
    smol::block_on(async {
        for _ in 0..5 {
            let (head, body) = pool.exchange(&get("/a")).await.unwrap();
            assert_eq!((head.status, &body[..]), (200, &b"GET /a "[..]));
        }
        assert_eq!(pool.open_connections(), 1);
        let slow = get("/slow");
        let (mut one, mut two) = (Box::pin(pool.exchange(&slow)), Box::pin(pool.exchange(&slow)));
        assert!(futures_lite::future::poll_once(&mut one).await.is_none());
        assert!(futures_lite::future::poll_once(&mut two).await.is_none());
        assert!(matches!(pool.exchange(&get("/a")).await, Err(ExchangeError::Connect(_))));
        drop((one, two));
        assert_eq!(pool.open_connections(), 0, "a dropped exchange closes its connection");
        assert!(pool.exchange(&get("/a")).await.is_ok());
        pool.close_idle();
        assert_eq!(pool.open_connections(), 0);
    });
}

#[test]
fn unsent_requests_are_distinguished_from_requests_that_may_have_run() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let reset = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut byte = [0u8; 1];
            stream.read_exact(&mut byte).await.unwrap();
        });
        let pool = pool(address, 2);
        assert!(matches!(pool.exchange(&get("/a")).await, Err(ExchangeError::Reset(_))));
        reset.await;
        assert!(matches!(pool.exchange(&get("/a")).await, Err(ExchangeError::Connect(_))));
        assert_eq!(pool.open_connections(), 0);
    });
}
