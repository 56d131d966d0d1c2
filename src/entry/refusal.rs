//! Constructors of refusals, which tell callers why their work was not served.

use actix_web::http::StatusCode;

use crate::{
    findings,
    wire::caller::{
        Code,
        Ran,
        Refusal, //
    }, //
};

/// Delay after which a caller may retry at another instance, in milliseconds.
const RETRY_SOON_MS: u64 = 200;

/// Returns a refusal of work that did not run.
#[must_use]
pub fn not_run(code: Code, message: String) -> Refusal {
    Refusal {
        code,
        ran: Ran::No,
        message,
        retry: None,
        findings: Vec::new(),
    }
}

/// Returns a refusal of work that did not run, with the delay before a retry in milliseconds.
#[must_use]
pub fn retry_later(code: Code, message: &str, retry: u64) -> Refusal {
    let retry = Some(retry);
    Refusal {
        retry,
        ..not_run(code, message.to_owned())
    }
}

/// Returns a refusal of work that may have run.
#[must_use]
pub fn may_have_run(code: Code, message: &str) -> Refusal {
    Refusal {
        ran: Ran::Unknown,
        ..not_run(code, message.to_owned())
    }
}

/// Returns the refusal of an instance that is shutting down.
#[must_use]
pub fn draining() -> Refusal {
    retry_later(
        Code::Draining,
        "the instance is shutting down",
        RETRY_SOON_MS,
    )
}

/// Returns the refusal of an instance that has not caught up with the log yet.
#[must_use]
pub fn starting() -> Refusal {
    let message = "the instance has not caught up with the log yet";
    retry_later(Code::LogUnavailable, message, RETRY_SOON_MS)
}

/// Returns the refusal of an instance whose log holds records of a newer release.
#[must_use]
pub fn outdated() -> Refusal {
    let message = "the log holds records of a newer release; ask an instance of that one";
    retry_later(Code::LogUnavailable, message, RETRY_SOON_MS)
}

/// Returns a refusal of malformed input with a single finding.
#[must_use]
pub fn invalid_field(place: &str, problem: String) -> Refusal {
    let mut found = findings::Findings::default();
    found.add("request", place, problem, "");
    invalid_input(found)
}

/// Returns a refusal of malformed input with all findings.
#[must_use]
pub fn invalid_input(found: findings::Findings) -> Refusal {
    let message = format!("the input has {} fault(s)", found.list.len());
    Refusal {
        findings: found.list,
        ..not_run(Code::BadInput, message)
    }
}

/// Returns the HTTP status of a refusal code.
#[must_use]
pub fn status(code: Code) -> StatusCode {
    match code {
        Code::BadInput => StatusCode::BAD_REQUEST,
        Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Code::UnknownProfile | Code::UnknownJob => StatusCode::NOT_FOUND,
        Code::Impossible => StatusCode::UNPROCESSABLE_ENTITY,
        Code::QueueFull | Code::Quota => StatusCode::TOO_MANY_REQUESTS,
        Code::Deadline | Code::LogUnavailable | Code::NoWorker | Code::Draining => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Code::Duplicate | Code::Conflict => StatusCode::CONFLICT,
        Code::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        Code::Backend => StatusCode::BAD_GATEWAY,
        Code::Forbidden => StatusCode::FORBIDDEN,
        Code::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

/// Returns the value of the header that tells whether the work ran.
#[must_use]
pub fn ran_header_value(ran: Ran) -> &'static str {
    match ran {
        Ran::Yes => "yes",
        Ran::No => "no",
        Ran::Unknown => "unknown",
    }
}
