//! What an exchange with the local target shows about its call.

use cardamomshed_code::{Code, Event, Ran};
use cardamomshed_platform::{answer, load};
use cardamomshed_wire::Call;

use crate::exchange::{Defect, Error, Response};
use crate::node::Node;
use crate::reply::Refused;
use crate::target::Permit;
use crate::warmth;

/// Judges the result of the exchange for a call, and records it for the target.
///
/// # Errors
///
/// The refusal of a call without a whole response, and of one whose response must not be
/// passed on.
pub fn judge(
    node: &Node,
    call: &Call,
    permit: &Permit<'_>,
    result: Result<Response, Error>,
) -> Result<Response, Refused> {
    warmth::record_exchange(node, &result);
    let response = result.map_err(|error| {
        if let Some((defect, detail)) = error.defect() {
            record_defect(node, call, permit, defect, detail);
        }
        refusal(error)
    })?;
    node.metrics.late_responses.inc_by(response.late);
    if node.settings.sidecar.is_none() {
        return Ok(response);
    }
    if let Some(factor) = load::slowdown(&response.headers) {
        permit.record_slowdown(factor);
    }
    if let Err(refused) = check_response(&response) {
        if refused.ran == Ran::Unknown {
            record_defect(node, call, permit, Defect::Unmarked, &refused.detail);
        }
        return Err(refused);
    }
    Ok(response)
}

/// Counts a broken response of the target.
pub fn count_defect(node: &Node, service: &str, defect: Defect) {
    let metrics = &node.metrics.broken_responses;
    metrics.with_label_values(&[service, defect.as_str()]).inc();
}

/// Reports to operators that the target sent a broken response to a call.
fn record_defect(node: &Node, call: &Call, permit: &Permit<'_>, defect: Defect, detail: &str) {
    count_defect(node, &call.service, defect);
    node.log_decision(
        Event::ResponseBroken,
        call.request,
        format_args!(
            "call={} service={} target={} instance={} defect={} {detail}",
            call.id,
            call.service,
            permit.address,
            permit.instance.as_deref().unwrap_or("none"),
            defect.as_str()
        ),
    );
}

/// Checks whether a response on the platform shows that the request ran. Other failures
/// are passed on, signed or not.
///
/// # Errors
///
/// [`Code::TargetRefused`] if the target reports that it did not run the request.
/// [`Code::TargetFailed`] for a success that the target did not sign, and for a status
/// that would promise the caller that the request did not run, without the target's
/// word for it. After either it is unknown whether the request ran.
fn check_response(response: &Response) -> Result<(), Refused> {
    match answer::classify(response.status, &response.headers) {
        answer::Kind::NotExecuted => {
            let detail = format!(
                "the target rejected the request with status {}",
                response.status
            );
            Err(Refused::not_run(Code::TargetRefused, detail, 0))
        }
        answer::Kind::Unproven => {
            let detail = format!("status {} without the mark of a rejection", response.status);
            Err(Refused::unknown(Code::TargetFailed, detail, 0))
        }
        answer::Kind::Unsigned if (200..300).contains(&response.status) => {
            let detail = "success response without a signature";
            Err(Refused::unknown(Code::TargetFailed, detail, 0))
        }
        answer::Kind::Signed | answer::Kind::Unsigned => Ok(()),
    }
}

fn refusal(error: Error) -> Refused {
    match error {
        Error::NotSent(detail) => Refused::not_run(Code::TargetFailed, detail, 0),
        Error::Sent(loss) => Refused::unknown(Code::TargetFailed, loss.detail, 0),
        Error::TooLarge => Refused::unknown(Code::AnswerTooLarge, "", 0),
        Error::NoMemory => Refused::unknown(Code::AnswerTooLarge, "no memory for the response", 0),
    }
}
