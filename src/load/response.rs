//! Reads and checks answers.

use std::time::Duration;

use awc::{
    ClientResponse,
    error::{
        ConnectError,
        SendRequestError, //
    },
    http::header::CONTENT_LENGTH, //
};
use bytes::Bytes;
use compact_str::CompactString;
use serde::Deserialize;
use serde_json::Value;
use tokio::time;

use crate::{
    load::sample::Class,
    wire::{
        self,
        caller::{
            Code,
            Ran,
            Refusal, //
        }, //
    }, //
};

/// The largest response that is read, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// An response as it came in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// The word of the execution; empty when there is none.
    pub ran: String,
    /// Whether as many bytes came as were announced.
    pub complete: bool,
    /// The body.
    pub body: Bytes,
}

/// Why there is no response.
#[derive(Debug)]
pub enum Failure {
    /// No connection could be opened, so nothing was sent.
    NotSent(String),
    /// Something may have been sent.
    NoResponse(String),
}

/// The verdict on an response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The outcome; never [`Class::Late`], which is for the caller to decide.
    pub class: Class,
    /// The code of a refusal.
    pub code: Option<Code>,
    /// The id of the execution.
    pub execution: CompactString,
    /// What is wrong.
    pub detail: String,
}

/// The body of a backend server's response.
#[derive(Debug, Deserialize)]
struct Echo {
    request: CompactString,
    echo: Value,
}

/// Sends a JSON body and reads the whole response within `limit`.
///
/// # Errors
///
/// Returns why there is no response.
pub async fn exchange(
    request: awc::ClientRequest,
    body: &Value,
    limit: Duration,
) -> Result<Response, Failure> {
    let sent = request.timeout(limit).send_json(body);
    match time::timeout(limit, receive(sent)).await {
        Ok(result) => result,
        Err(_) => Err(Failure::NoResponse("no response in time".to_owned())),
    }
}

async fn receive(sent: awc::SendClientRequest) -> Result<Response, Failure> {
    let mut response = sent.await.map_err(send_failure)?;
    let announced = content_length(&response);
    let ran = response.headers().get(wire::RAN_HEADER);
    let ran = ran.and_then(|r| r.to_str().ok()).unwrap_or_default();
    let ran = ran.to_owned();
    let body = response.body().limit(MAX_BODY_BYTES).await;
    let body = body.map_err(|e| Failure::NoResponse(e.to_string()))?;
    Ok(Response {
        status: response.status().as_u16(),
        ran,
        // The HTTP client takes a body that ends early for a whole one.
        complete: announced.is_none_or(|l| l == body.len()),
        body,
    })
}

fn content_length<S>(response: &ClientResponse<S>) -> Option<usize> {
    let length = response.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// A connection that was closed before an response is reported as a connect error too, though the
/// request was sent.
fn send_failure(error: SendRequestError) -> Failure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Failure::NoResponse("the connection was closed".to_owned())
        }
        SendRequestError::Connect(e) => Failure::NotSent(e.to_string()),
        other => Failure::NoResponse(other.to_string()),
    }
}

/// Judges the response to a request with this body.
#[must_use]
pub fn classify(response: &Response, body: &Value) -> Outcome {
    if !response.complete {
        return outcome(Class::Unknown, "the response was cut short");
    }
    if response.status == 200 {
        return classify_echo(&response.body, body);
    }
    let refusal: Option<Refusal> = serde_json::from_slice(&response.body).ok();
    let reported = refusal.as_ref().map(|r| r.ran);
    let ran = reported.unwrap_or_else(|| parse_ran(&response.ran));
    let class = match ran {
        Ran::No => Class::Refused,
        Ran::Yes => Class::Failed,
        Ran::Unknown => Class::Unknown,
    };
    Outcome {
        code: refusal.as_ref().map(|r| r.code),
        ..outcome(class, &format!("status {}", response.status))
    }
}

/// Judges the body of a good response.
fn classify_echo(response: &[u8], body: &Value) -> Outcome {
    let Ok(echo) = serde_json::from_slice::<Echo>(response) else {
        return outcome(Class::Wrong, "the response is malformed");
    };
    if echo.echo != *body {
        let detail = format!(
            "sent {}, got the response to {}",
            body["work"], echo.echo["work"]
        );
        return outcome(Class::Wrong, &detail);
    }
    Outcome {
        execution: echo.request,
        ..outcome(Class::Good, "")
    }
}

fn parse_ran(ran: &str) -> Ran {
    match ran {
        "yes" => Ran::Yes,
        "no" => Ran::No,
        _ => Ran::Unknown,
    }
}

fn outcome(class: Class, detail: &str) -> Outcome {
    Outcome {
        class,
        code: None,
        execution: CompactString::default(),
        detail: detail.to_owned(),
    }
}
