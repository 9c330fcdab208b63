//! The parameters of a preview.

use actix_web::http::Method;
use actix_web::web::Query;
use cardamomshed_code::{Code, Failure};
use serde::Deserialize;

use super::document::Request;
use crate::http::{head, outbound};

/// Query string of `/preview`.
#[derive(Debug)]
#[derive(Deserialize)]
struct Parameters {
    path: String,
    #[serde(default)]
    host: String,
    #[serde(default)]
    method: Option<String>,
    #[serde(default)]
    account: Option<String>,
    #[serde(default)]
    size: Option<String>,
}

/// Parses the query string.
///
/// # Errors
///
/// [`Code::ValueRange`] for a malformed size, or [`Code::BadRequest`].
pub(super) fn parse(query: &str) -> Result<Request, Failure> {
    let bad = |detail: String| Failure::new(Code::BadRequest, detail);
    let parameters =
        Query::<Parameters>::from_query(query).map_err(|error| bad(error.to_string()))?;
    let parameters = parameters.into_inner();
    let path = parameters.path;
    head::check_path(path.split_once('?').map_or(&*path, |(path, _)| path))?;
    let method = parameters.method.unwrap_or_else(|| "GET".to_owned());
    let parsed = method.parse::<Method>();
    if !parsed.is_ok_and(|method| method != Method::CONNECT) {
        return Err(bad(format!("method `{method}`")));
    }
    let size = parameters.size.map_or(Ok(0), |size| {
        let invalid = |_| Failure::new(Code::ValueRange, format!("size `{size}`"));
        size.parse().map_err(invalid)
    })?;
    Ok(Request {
        method,
        host: outbound::without_port(&parameters.host),
        path,
        account: parameters.account.map(Into::into),
        size,
    })
}
