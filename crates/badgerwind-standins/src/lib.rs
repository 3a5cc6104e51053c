//! Test doubles for the gateway's peers: runners, the handler store, the list service and senders. They are
//! scripted by a seed and by commands over their sockets, and record what they observe for
//! `badgerwind-check`. The gateway itself does not use this crate.

pub mod fenced;
pub mod keys;
pub mod list;
pub mod model;
pub mod platform;
pub mod record;
pub mod relay;
pub mod reserved;
pub mod runner;
pub mod senders;
pub mod share;
pub mod store;

use badgerwind_http::{Conn, Exchange, Pool, PoolLimits, Response, ServerTls, Stream};
use smol::net::TcpListener;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest number of connections that a stand-in serves at the same time.
const MAX_CONNECTIONS: usize = 8192;

/// Accepts connections without end and passes each to `serve`.
async fn accept<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    tls: Option<ServerTls>,
    serve: impl Fn(Conn<Stream>) -> F + Clone + Send + 'static,
) {
    let limits = Arc::new(badgerwind_http::Limits {
        idle_timeout: Duration::from_secs(300),
        max_body_bytes: 8 * 1024 * 1024,
        ..Default::default()
    });
    let permits = Arc::new(smol::lock::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permit = permits.acquire_arc().await;
        let Ok((stream, _)) = listener.accept().await else {
            smol::Timer::after(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true); // without it answers are only delayed
        let (serve, limits, tls) = (serve.clone(), limits.clone(), tls.clone());
        smol::spawn(async move {
            let _permit = permit;
            let stream = match tls {
                None => Ok(stream.into()),
                Some(tls) => tls.accept(stream, limits.head_timeout).await,
            };
            if let Ok(stream) = stream {
                serve(Conn::new(stream, limits)).await;
            }
        })
        .detach();
    }
}

fn json(status: u16, value: &impl serde::Serialize) -> Response {
    // Plain records of numbers and strings always serialize.
    Response::new(status, "application/json", serde_json::to_vec(value).unwrap_or_default())
}

fn empty(status: u16) -> Response {
    Response::new(status, "", Vec::new())
}

fn pool(address: SocketAddr, max_connections: usize) -> Pool {
    let limits = PoolLimits {
        max_connections,
        connect_timeout: Duration::from_millis(500),
        idle_timeout: Duration::from_secs(20),
        max_body_bytes: 8 * 1024 * 1024,
    };
    Pool::new(address, limits)
}

/// Sends a command to a stand-in: a JSON document by POST. Returns the answer's body, or a description of the
/// error.
pub async fn command(
    address: SocketAddr,
    path: &str,
    value: &impl serde::Serialize,
) -> Result<Vec<u8>, String> {
    let body = serde_json::to_vec(value).map_err(|e| e.to_string())?;
    let request = Exchange { method: "POST", target: path.into(), headers: vec![], body: body.into() };
    let (head, body) = pool(address, 1).exchange(&request).await.map_err(|e| e.to_string())?;
    if head.status == 200 {
        Ok(body)
    } else {
        Err(format!("{path}: status {}: {}", head.status, String::from_utf8_lossy(&body)))
    }
}
