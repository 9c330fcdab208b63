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

/// A problem document.
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

/// A refusal in the platform's form: its status, and `Retry-After` in
/// fractions of a second.
pub fn platform_response(
    request: Request,
    refused: &Refused,
    status: u16,
    retry_after: Option<Duration>,
) -> HttpResponse {
    let mut response = document(refused, status);
    if let Some(length) = retry_after {
        let seconds = format!("{:.3}", length.as_secs_f64());
        response.insert_header((header::RETRY_AFTER, seconds));
    }
    response.json(problem(request, refused, status))
}

/// A refusal as an answer. `retry_after` tells the caller when to come back.
pub fn response(
    request: Request,
    refused: &Refused,
    retry_after: Option<Duration>,
) -> HttpResponse {
    let status = refused.code.status();
    let mut response = document(refused, status);
    response.insert_header((REQUEST_HEADER, request.to_string()));
    if let Some(length) = retry_after {
        let seconds = length.as_secs_f64().ceil().max(1.0) as u64;
        response.insert_header((header::RETRY_AFTER, seconds.to_string()));
    }
    response.json(problem(request, refused, status))
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

fn document(refused: &Refused, status: u16) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    // The rest of a large body would be taken for the next request, and a
    // caller of a daemon that leaves should connect to another.
    if matches!(refused.code, Code::BodyTooLarge | Code::Leaving) {
        response.force_close();
    }
    response.content_type("application/problem+json");
    response
}
