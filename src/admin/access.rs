//! Access control of the administration API: bearer tokens with a role.

use std::{
    future::{
        Ready,
        ready, //
    },
    hint::black_box, //
};

use actix_web::{
    FromRequest,
    HttpRequest,
    dev::Payload,
    http::header::AUTHORIZATION,
    web, //
};
use compact_str::CompactString;

use crate::{
    admin::{
        AppState,
        error::ApiError, //
    },
    settings::{
        Access,
        AccessToken, //
    }, //
};

/// Caller with read access. The extractor rejects every other caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reader;

/// Caller that may publish. The extractor rejects every other caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// Name under which the changes of this caller are recorded.
    pub name: CompactString,
}

impl FromRequest for Reader {
    type Error = ApiError;
    type Future = Ready<Result<Self, ApiError>>;

    fn from_request(request: &HttpRequest, _: &mut Payload) -> Self::Future {
        ready(authenticate(request).map(|_| Reader))
    }
}

impl FromRequest for Operator {
    type Error = ApiError;
    type Future = Ready<Result<Self, ApiError>>;

    fn from_request(request: &HttpRequest, _: &mut Payload) -> Self::Future {
        ready(authenticate(request).and_then(require_operator))
    }
}

fn require_operator(token: AccessToken) -> Result<Operator, ApiError> {
    match token.access {
        Access::Operator => Ok(Operator {
            name: token.operator,
        }),
        Access::ReadOnly => Err(ApiError::forbidden()),
    }
}

fn authenticate(request: &HttpRequest) -> Result<AccessToken, ApiError> {
    let app = request.app_data::<web::Data<AppState>>();
    let app = app.ok_or_else(ApiError::unauthorized)?;
    let header = request.headers().get(AUTHORIZATION);
    let header = header.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let secret = header.strip_prefix("Bearer ").unwrap_or_default();
    find_token(&app.settings.tokens, secret)
        .cloned()
        .ok_or_else(ApiError::unauthorized)
}

/// Returns the token with a secret. The run time does not depend on how much of a secret matches.
fn find_token<'a>(tokens: &'a [AccessToken], secret: &str) -> Option<&'a AccessToken> {
    let mut found = None;
    for token in tokens {
        if constant_time_eq(token.secret.as_bytes(), secret.as_bytes()) && !token.secret.is_empty()
        {
            found = Some(token);
        }
    }
    found
}

/// Returns whether two byte strings are equal. The run time depends on the length of `given` alone.
fn constant_time_eq(expected: &[u8], given: &[u8]) -> bool {
    let mut differs = u8::from(expected.len() != given.len());
    for (i, byte) in given.iter().enumerate() {
        differs |= byte ^ expected.get(i).copied().unwrap_or(0);
        differs = black_box(differs);
    }
    differs == 0
}
