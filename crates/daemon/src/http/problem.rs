//! Refusals as problem documents (RFC 9457).

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header;
use actix_web::{HttpResponse, HttpResponseBuilder};
use cardamomshed_code::{Code, Ran};
use cardamomshed_wire::Request;
use serde::Serialize;

use crate::reply::Refused;
use crate::runner::REQUEST_HEADER;

/// JSON body of a refusal.
#[derive(Debug)]
#[derive(Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    code: u16,
    ran: Ran,
    request: String,
}

/// Builds a refusal in the platform's protocol, with the given status and with
/// `Retry-After` in seconds with three decimals.
pub fn platform_response(
    request: Request,
    refused: &Refused,
    status: u16,
    retry_after: Option<Duration>,
) -> HttpResponse {
    let mut response = builder(refused, status);
    if let Some(delay) = retry_after {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        response.insert_header((header::RETRY_AFTER, seconds));
    }
    response.json(problem(request, refused, status))
}

/// Builds a refusal with the status of its code and with `Retry-After` in whole
/// seconds, rounded up to at least 1.
pub fn response(
    request: Request,
    refused: &Refused,
    retry_after: Option<Duration>,
) -> HttpResponse {
    let status = refused.code.status();
    let mut response = builder(refused, status);
    response.insert_header((REQUEST_HEADER, request.to_string()));
    if let Some(delay) = retry_after {
        let seconds = whole_seconds(delay);
        response.insert_header((header::RETRY_AFTER, seconds.to_string()));
    }
    response.json(problem(request, refused, status))
}

/// A delay as it is sent in `Retry-After` on this project's own interface.
pub fn whole_seconds(delay: Duration) -> u64 {
    delay.as_secs_f64().ceil().max(1.0) as u64
}

fn problem(request: Request, refused: &Refused, status: u16) -> Problem<'_> {
    let code = refused.code;
    Problem {
        kind: format!("urn:cardamomshed:code:{}", code.number()),
        title: code.text(),
        status,
        detail: &refused.detail,
        code: code.number(),
        ran: refused.ran,
        request: request.to_string(),
    }
}

fn builder(refused: &Refused, status: u16) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    // The unread rest of a body would be parsed as the next request. The caller of a
    // leaving daemon is to connect to another daemon.
    if matches!(
        refused.code,
        Code::BodyTooLarge | Code::MemoryShed | Code::Leaving
    ) {
        response.force_close();
    }
    response.content_type("application/problem+json");
    response
}
