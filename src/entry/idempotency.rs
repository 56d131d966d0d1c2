//! Idempotency keys: before a non-idempotent request with a key is sent, the key is claimed in the
//! log.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::{
    entry::{
        exchange::{
            self,
            Response, //
        },
        http,
        refusal,
        serve::Request, //
    },
    ids::{
        IdempotencyKey,
        ProfileName,
        RequestId, //
    },
    ledger::{
        effect::Effect,
        record::{
            self,
            Record, //
        },
        replica::Unavailable, //
    },
    wire::caller::{
        Code,
        Ran,
        Refusal, //
    }, //
};

/// Longest response body that is stored with a key, in bytes.
const MAX_STORED_BODY_BYTES: usize = 4_096;

/// How long the log may take to confirm the claim of a key, in milliseconds.
const CONFIRM_TIMEOUT_MS: u64 = 1_500;

/// How long to keep trying to append a response or a release to the log, in milliseconds.
const RECORD_TIMEOUT_MS: u64 = 600_000;

/// Interval between checks for the stored response of an earlier request.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// When a caller may retry while the log is unavailable, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Result of claiming the key of a request.
#[derive(Debug)]
pub enum Claim {
    /// The request needs no claim.
    NotRequired,
    /// The request holds the key under this id.
    Held(RequestId),
    /// An earlier request with this key got this response.
    Answered(Response),
}

/// Claims the key of a request, if the request needs one.
///
/// # Errors
///
/// Refuses the request if another request holds the key, and as not run if the log does not confirm
/// the claim.
pub async fn claim(
    app: &http::AppState,
    name: &ProfileName,
    incoming: &Request,
) -> Result<Claim, Refusal> {
    let Some(key) = required_key(incoming) else {
        return Ok(Claim::NotRequired);
    };
    if !app.ledger.is_complete() {
        return Err(refusal::outdated());
    }
    // The holder must be this request alone; the id that a caller chose could be used more than
    // once.
    let holder: RequestId = app.unique_id().parse().map_err(|_| refusal::draining())?;
    let record = record::Key {
        profile: name.clone(),
        key: key.clone(),
        request: holder.clone(),
    };
    let limit = Duration::from_millis(
        incoming
            .deadline
            .unwrap_or(CONFIRM_TIMEOUT_MS)
            .min(CONFIRM_TIMEOUT_MS),
    );
    let records = vec![Record::Key(record)];
    match app.ledger.append(records, limit).await {
        Ok(effects) if holds_key(&effects, &holder) => Ok(Claim::Held(holder)),
        Ok(_) => replay(stored_answer(app, name, key, incoming.deadline).await),
        Err(Unavailable::Dropped) => Err(key_unconfirmed()),
        Err(Unavailable::Pending) => {
            release(app, name, key, holder);
            Err(key_unconfirmed())
        }
    }
}

/// Returns the idempotency key that the request must claim at this instance, if any.
fn required_key(incoming: &Request) -> Option<&IdempotencyKey> {
    if incoming.message.idempotent || incoming.forwarded {
        return None;
    }
    incoming.message.idempotency_key.as_ref()
}

fn key_unconfirmed() -> Refusal {
    let message = "the log cannot confirm the idempotency key; the request was not sent";
    refusal::retry_later(Code::LogUnavailable, message, RETRY_AFTER_MS)
}

/// Returns whether the log granted the key to this request.
fn holds_key(effects: &[Effect], request: &RequestId) -> bool {
    effects.iter().any(|effect| match effect {
        Effect::Key { holder, .. } => holder == request,
        _ => false,
    })
}

/// Returns the stored response of the request that holds the key. Waits while that request is in
/// progress, up to the deadline.
async fn stored_answer(
    app: &http::AppState,
    name: &ProfileName,
    key: &IdempotencyKey,
    deadline: Option<u64>,
) -> Option<record::Answer> {
    let objective_ms = app.ledger.read(|state| {
        let version = state.profiles.profile(name);
        version.map_or(0, |v| v.profile.objective.deadline)
    });
    let limit = Duration::from_millis(deadline.unwrap_or(objective_ms).min(objective_ms));
    let end = Instant::now() + limit;
    loop {
        let found = app.ledger.read(|state| {
            let entry = state.keys.get(name, key);
            entry.and_then(|e| e.answer.clone())
        });
        if found.is_some() || Instant::now() >= end {
            return found;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the stored response of the request that holds the key, or the refusal if there is none.
fn replay(stored: Option<record::Answer>) -> Result<Claim, Refusal> {
    let in_progress = "a request with this key is in progress, or ended without a known answer";
    let Some(stored) = stored else {
        return Err(refusal::may_have_run(Code::Duplicate, in_progress));
    };
    let status = actix_web::http::StatusCode::from_u16(stored.status);
    match (stored.ran, stored.body, status) {
        (Ran::Yes, Some(body), Ok(status)) => Ok(Claim::Answered(Response {
            status,
            content_type: "application/json".into(),
            body: Bytes::from(body),
            ran: Ran::Yes,
        })),
        (Ran::Yes, ..) => {
            let message = "a request with this key ran; its answer was too large to be kept";
            let mut refusal = refusal::may_have_run(Code::Duplicate, message);
            refusal.ran = Ran::Yes;
            Err(refusal)
        }
        _ => Err(refusal::may_have_run(Code::Duplicate, in_progress)),
    }
}

/// Records the result of a request that holds its key.
pub fn record_outcome(
    app: &http::AppState,
    name: &ProfileName,
    incoming: &Request,
    claim: &Claim,
    result: &Result<Response, Refusal>,
) {
    let Claim::Held(holder) = claim else {
        return;
    };
    let Some(key) = &incoming.message.idempotency_key else {
        return;
    };
    let (status, ran, body) = match result {
        Ok(response) => (
            response.status.as_u16(),
            response.ran,
            storable_body(response),
        ),
        Err(refusal) => (refusal::status(refusal.code).as_u16(), refusal.ran, None),
    };
    append_answer(
        app,
        record::Answer {
            profile: name.clone(),
            key: key.clone(),
            request: holder.clone(),
            status,
            ran,
            body,
        },
    );
}

/// Releases a key that this request may hold but will not use.
fn release(app: &http::AppState, name: &ProfileName, key: &IdempotencyKey, request: RequestId) {
    append_answer(
        app,
        record::Answer {
            profile: name.clone(),
            key: key.clone(),
            request,
            status: refusal::status(Code::LogUnavailable).as_u16(),
            ran: Ran::No,
            body: None,
        },
    );
}

/// Appends the record of a response in the background.
fn append_answer(app: &http::AppState, answer: record::Answer) {
    let ledger = app.ledger.clone();
    actix_rt::spawn(async move {
        let limit = Duration::from_millis(RECORD_TIMEOUT_MS);
        let appended = ledger.append(vec![Record::Answer(answer)], limit).await;
        if let Err(e) = appended {
            log::warn!("failed to record the response for an idempotency key: {e}");
        }
    });
}

/// Returns the response body as text, if it is short enough to be stored.
fn storable_body(response: &exchange::Response) -> Option<String> {
    if response.body.len() > MAX_STORED_BODY_BYTES {
        return None;
    }
    String::from_utf8(response.body.to_vec()).ok()
}
