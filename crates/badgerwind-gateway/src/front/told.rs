//! What senders are told: problem documents, answers of before, and answers that go on.

use async_channel::Receiver;
use badgerwind::interface::Span;
use badgerwind_http::{Conn, Response, Stream};
use std::sync::Arc;

/// `1`: the answer is the one that an earlier message with this id got.
const REPLAYED: &str = "badgerwind-replayed";

/// What a sender is told when its message is turned away by the front itself.
pub(super) struct Away {
    pub status: u16,
    pub reason: &'static str,
    pub detail: String,
    pub harmless: bool,
    pub retry_after: Option<Span>,
}

pub(super) fn away(status: u16, reason: &'static str, detail: impl Into<String>) -> Away {
    Away { status, reason, detail: detail.into(), harmless: true, retry_after: None }
}

/// A problem document (RFC 9457); `retry` says whether trying again is harmless.
pub(super) fn problem(away: &Away) -> Response {
    let retry = if away.harmless { "harmless" } else { "unknown" };
    let body = serde_json::json!({
        "type": format!("urn:badgerwind:problem:{}", away.reason),
        "title": away.reason.replace('-', " "),
        "status": away.status,
        "detail": away.detail,
        "retry": retry,
    });
    let response = Response::new(away.status, "application/problem+json", body.to_string().into_bytes());
    match away.retry_after {
        // Whole seconds, rounded up (RFC 9110 section 10.2.3); the exact time beside it for those who know it.
        Some(span) => response
            .with("retry-after", span.div_ceil(1_000_000).to_string())
            .with("badgerwind-retry-after-ms", span.div_ceil(1000).to_string()),
        None => response,
    }
}

pub(super) fn replayed(answer: &Response) -> Arc<Response> {
    Arc::new(answer.clone().with(REPLAYED, "1"))
}

/// Passes a streamed answer on. One that breaks off is broken off towards the sender too, without its last chunk.
pub(super) async fn stream(
    conn: &mut Conn<Stream>,
    response: &Response,
    rest: Receiver<Vec<u8>>,
    keep: bool,
) -> Result<(), badgerwind_http::ServeError> {
    conn.respond_streaming(response.status, &response.headers, keep).await?;
    while let Ok(piece) = rest.recv().await {
        conn.chunk(&piece).await?;
        if piece.is_empty() {
            return Ok(());
        }
    }
    Err(badgerwind_http::ServeError::Closed)
}
