//! Errors of the administration API as HTTP answers.

use std::fmt;

use actix_web::{
    HttpResponse,
    ResponseError,
    http::StatusCode, //
};

use crate::{
    entry::refusal,
    findings::Findings,
    ledger::replica::Unavailable,
    wire::{
        admin::Conflict,
        caller::{
            Code,
            Refusal, //
        }, //
    }, //
};

/// When to try again while the state or the log is not available, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// A refused call.
#[derive(Debug)]
pub enum ApiError {
    /// The token is missing or unknown.
    Unauthorized(Refusal),
    /// Anything else without details.
    Refused(Refusal),
    /// The change lost to another one.
    Conflict(Box<Conflict>),
}

impl ApiError {
    /// The token is missing or unknown.
    #[must_use]
    pub fn unauthorized() -> Self {
        let message = "a valid token is needed: Authorization: Bearer SECRET".to_owned();
        Self::Unauthorized(refusal::not_run(Code::Forbidden, message))
    }

    /// The token does not allow the call.
    #[must_use]
    pub fn forbidden() -> Self {
        let message = "the token allows reading alone".to_owned();
        Self::Refused(refusal::not_run(Code::Forbidden, message))
    }

    /// No profile, or no kept version of it, has that name.
    #[must_use]
    pub fn not_found(message: String) -> Self {
        Self::Refused(refusal::not_run(Code::UnknownProfile, message))
    }

    /// The input has faults.
    #[must_use]
    pub fn bad_input(findings: Findings) -> Self {
        Self::Refused(refusal::invalid_input(findings))
    }

    /// Something that the call needs cannot be reached.
    #[must_use]
    pub fn unavailable(message: &str) -> Self {
        Self::Refused(refusal::retry_later(
            Code::LogUnavailable,
            message,
            RETRY_AFTER_MS,
        ))
    }

    /// The change id was used for another change.
    #[must_use]
    pub fn duplicate() -> Self {
        let message = "the change id was used for another change".to_owned();
        Self::Refused(refusal::not_run(Code::Duplicate, message))
    }

    /// The answer holds what it should not.
    #[must_use]
    pub fn internal(message: &str) -> Self {
        Self::Refused(refusal::not_run(Code::Internal, message.to_owned()))
    }

    fn refusal(&self) -> &Refusal {
        match self {
            Self::Unauthorized(refusal) | Self::Refused(refusal) => refusal,
            Self::Conflict(conflict) => &conflict.refusal,
        }
    }
}

impl From<Unavailable> for ApiError {
    fn from(e: Unavailable) -> Self {
        let mut refusal = match e {
            Unavailable::Dropped => refusal::not_run(Code::LogUnavailable, e.to_string()),
            Unavailable::Pending => refusal::may_have_run(Code::LogUnavailable, &e.to_string()),
        };
        refusal.message += "; repeat it with the same change id";
        refusal.retry = Some(RETRY_AFTER_MS);
        Self::Refused(refusal)
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.refusal().message)
    }
}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::Unauthorized(_) => StatusCode::UNAUTHORIZED,
            Self::Refused(refusal) => refusal::status(refusal.code),
            Self::Conflict(_) => StatusCode::CONFLICT,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        if let Self::Unauthorized(_) = self {
            response.insert_header(("www-authenticate", "Bearer"));
        }
        if let Some(retry) = self.refusal().retry {
            response.insert_header(("retry-after", retry.div_ceil(1_000)));
        }
        match self {
            Self::Conflict(conflict) => response.json(conflict),
            _ => response.json(self.refusal()),
        }
    }
}
