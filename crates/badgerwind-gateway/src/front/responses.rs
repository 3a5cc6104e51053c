//! Responses to senders: problem documents, replayed answers and streamed answers.

use async_channel::Receiver;
use badgerwind::interface::Micros;
use badgerwind_http::{Conn, Response, Stream};
use std::sync::Arc;

/// Response header: `1` marks the answer that an earlier message with the same id got.
const REPLAYED_HEADER: &str = "badgerwind-replayed";

/// A message rejected by the front itself.
pub(super) struct Rejection {
    pub status: u16,
    pub reason: &'static str,
    pub detail: String,
    /// The message did not run, so that a retry cannot run it twice.
    pub safe_to_retry: bool,
    pub retry_after: Option<Micros>,
}

/// A rejection of a message that did not run.
pub(super) fn rejection(status: u16, reason: &'static str, detail: impl Into<String>) -> Rejection {
    Rejection { status, reason, detail: detail.into(), safe_to_retry: true, retry_after: None }
}

/// The problem document (RFC 9457) of a rejection; its member `retry` says whether a retry is harmless.
pub(super) fn problem_document(rejection: &Rejection) -> Response {
    let retry = if rejection.safe_to_retry { "harmless" } else { "unknown" };
    let body = serde_json::json!({
        "type": format!("urn:badgerwind:problem:{}", rejection.reason),
        "title": rejection.reason.replace('-', " "),
        "status": rejection.status,
        "detail": rejection.detail,
        "retry": retry,
    });
    let response = Response::new(rejection.status, "application/problem+json", body.to_string().into_bytes());
    match rejection.retry_after {
        // Retry-After is in whole seconds (RFC 9110 section 10.2.3), rounded up; a second header has
        // milliseconds.
        Some(span) => response
            .with("retry-after", span.div_ceil(1_000_000).to_string())
            .with("badgerwind-retry-after-ms", span.div_ceil(1000).to_string()),
        None => response,
    }
}

/// The remembered answer, marked as a replay.
pub(super) fn replayed(answer: &Response) -> Arc<Response> {
    Arc::new(answer.clone().with(REPLAYED_HEADER, "1"))
}

/// Forwards a streamed answer. If the stream ends early, the connection is closed without the final chunk, so
/// that the sender sees it as incomplete.
pub(super) async fn forward_stream(
    conn: &mut Conn<Stream>,
    response: &Response,
    rest: Receiver<Vec<u8>>,
    keep: bool,
) -> Result<(), badgerwind_http::ServeError> {
    conn.respond_streaming(response.status, &response.headers, keep).await?;
    while let Ok(chunk) = rest.recv().await {
        conn.chunk(&chunk).await?;
        if chunk.is_empty() {
            return Ok(());
        }
    }
    Err(badgerwind_http::ServeError::Closed)
}
