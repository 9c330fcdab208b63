//! Receipt of the bodies of requests, for which memory is reserved as they arrive.

use std::sync::Arc;
use std::time::Duration;

use actix_web::{HttpRequest, web};
use cardamomshed_code::{Code, Failure};
use cardamomshed_note::Lookup;
use cardamomshed_policy::Moment;
use cardamomshed_policy::memory::Kind;
use futures_util::StreamExt;

use super::{head, open};
use crate::memory::{Buffer, Reservation};
use crate::node::Node;
use crate::request::Parts;

/// Longest wait for memory while a body is read.
const BODY_WAIT: Duration = Duration::from_millis(500);
/// Copies of the path and the header fields that an open request needs.
const HEAD_COPIES: usize = 3;
/// Memory that an open request takes beside them and its body, in bytes.
const REQUEST_BYTES: usize = 2 * 1024;

/// Waits for a request whose body arrives, at most until its deadline.
///
/// # Errors
///
/// Those of [`read_request`], or [`Code::DeadlineUnmet`].
pub(super) async fn before(
    node: &Node,
    deadline: Moment,
    received: impl Future<Output = Result<(Parts, Reservation), Failure>>,
) -> Result<(Parts, Reservation), Failure> {
    let remaining = node.clock.remaining(deadline);
    let received = tokio::time::timeout(remaining, received).await;
    received.unwrap_or_else(|_| {
        let detail = "the body did not arrive before the deadline";
        Err(Failure::new(Code::DeadlineUnmet, detail))
    })
}

/// Reads the complete body. Memory is reserved for the body, as it arrives, and for the
/// head, until the returned guard is dropped.
///
/// # Errors
///
/// [`Code::BodyTooLarge`], [`Code::MemoryShed`], or [`Code::BadRequest`] if the
/// body is truncated or malformed.
pub(super) async fn read_request(
    node: &Arc<Node>,
    lookup: &Lookup,
    request: &HttpRequest,
    headers: Vec<(String, String)>,
    payload: web::Payload,
) -> Result<(Parts, Reservation), Failure> {
    let limit = lookup.config.limits.body.get();
    let declared = head::text(request.headers(), "content-length")
        .and_then(|length| length.parse::<usize>().ok());
    check_length(declared.unwrap_or(0), limit)?;
    let chunked = request.headers().contains_key("transfer-encoding");
    let expected = declared.unwrap_or(if chunked { limit } else { 0 });
    let shed = || {
        open::count(node, "request");
        Failure::new(Code::MemoryShed, "")
    };
    let path = head::path_and_query(request);
    let reservation = node
        .memory
        .reserve(Kind::Request, head_bytes(&path, &headers))
        .ok_or_else(shed)?;
    let connection = node.connections.get(request.peer_addr());
    let receiving = connection
        .filter(|_| expected > 0)
        .map(|connection| connection.receive());
    let mut body = Buffer::new(&node.memory, Kind::Request, expected);
    read_body(payload, &mut body, limit, shed).await?;
    drop(receiving);
    let parts = Parts {
        method: request.method().to_string(),
        path,
        headers,
        body: body.freeze(),
    };
    Ok((parts, reservation))
}

/// Checks the length of a body against its limit.
///
/// # Errors
///
/// [`Code::BodyTooLarge`].
pub(super) fn check_length(length: usize, limit: usize) -> Result<(), Failure> {
    if length > limit {
        return Err(too_large(limit));
    }
    Ok(())
}

/// Memory that an open request takes beside its body.
pub(super) fn head_bytes(path: &str, headers: &[(String, String)]) -> usize {
    let fields = headers.iter();
    let head = fields.fold(path.len(), |sum, (name, value)| {
        sum + name.len() + value.len()
    });
    head * HEAD_COPIES + REQUEST_BYTES
}

/// Reads a body of at most `limit` bytes. While there is no memory, reading stops for up
/// to [`BODY_WAIT`].
async fn read_body(
    mut payload: web::Payload,
    body: &mut Buffer,
    limit: usize,
    shed: impl Fn() -> Failure,
) -> Result<(), Failure> {
    if body.expected() == 0 {
        return Ok(());
    }
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| Failure::new(Code::BadRequest, error.to_string()))?;
        check_length(body.len() + chunk.len(), limit)?;
        if !body.extend_within(&chunk, BODY_WAIT).await {
            return Err(shed());
        }
    }
    Ok(())
}

fn too_large(limit: usize) -> Failure {
    Failure::new(Code::BodyTooLarge, format!("at most {limit} bytes"))
}
