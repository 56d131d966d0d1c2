//! Errors of the administration API and their HTTP responses.

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

/// Delay before a retry while the state or the log is unavailable, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Error that a call is answered with.
#[derive(Debug)]
pub enum ApiError {
    /// The token is missing or unknown.
    Unauthorized(Refusal),
    /// Any other refusal without details.
    Refused(Refusal),
    /// The change was rejected because another change came first.
    Conflict(Box<Conflict>),
}

impl ApiError {
    /// Returns the error for a missing or unknown token.
    #[must_use]
    pub fn unauthorized() -> Self {
        let message = "a valid token is needed: Authorization: Bearer SECRET".to_owned();
        Self::Unauthorized(refusal::not_run(Code::Forbidden, message))
    }

    /// Returns the error for a token whose role does not allow the call.
    #[must_use]
    pub fn forbidden() -> Self {
        let message = "the token allows reading alone".to_owned();
        Self::Refused(refusal::not_run(Code::Forbidden, message))
    }

    /// Returns the error for an unknown profile or a version that is not kept.
    #[must_use]
    pub fn not_found(message: String) -> Self {
        Self::Refused(refusal::not_run(Code::UnknownProfile, message))
    }

    /// Returns the error for invalid input, with all findings.
    #[must_use]
    pub fn bad_input(findings: Findings) -> Self {
        Self::Refused(refusal::invalid_input(findings))
    }

    /// Returns the error for a dependency of the call that is unavailable.
    #[must_use]
    pub fn unavailable(message: &str) -> Self {
        Self::Refused(refusal::retry_later(
            Code::LogUnavailable,
            message,
            RETRY_AFTER_MS,
        ))
    }

    /// Returns the error for a change id that was used for another change.
    #[must_use]
    pub fn duplicate() -> Self {
        let message = "the change id was used for another change".to_owned();
        Self::Refused(refusal::not_run(Code::Duplicate, message))
    }

    /// Returns the error for an inconsistency inside the system.
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
