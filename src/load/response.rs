//! Sends requests, reads the responses and classifies them.

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

/// Largest response body that is read, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A response as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Value of the header that says whether the request ran; empty when the header is absent.
    pub ran: String,
    /// Whether the body is as long as its `Content-Length`; true when that header is absent.
    pub complete: bool,
    /// Response body.
    pub body: Bytes,
}

/// Why a request got no response.
#[derive(Debug)]
pub enum Failure {
    /// No connection could be opened, so the request was not sent.
    NotSent(String),
    /// The request may have been sent, fully or in part.
    NoResponse(String),
}

/// Outcome of a request, as classified from its response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Class of the outcome; never [`Class::Late`], which the code that knows the deadline sets.
    pub class: Class,
    /// Error code of a refusal, if the body holds one.
    pub code: Option<Code>,
    /// Id of the execution that answered; empty unless the class is [`Class::Good`].
    pub execution: CompactString,
    /// Human-readable reason; empty when the class is [`Class::Good`].
    pub detail: String,
}

/// Response body of the stand-in's backend server, which echoes the request body.
#[derive(Debug, Deserialize)]
struct Echo {
    request: CompactString,
    echo: Value,
}

/// Sends a JSON body and reads the response with its body within `limit`.
///
/// # Errors
///
/// Returns an error if no response arrived in time, and whether the request may have been sent.
pub async fn exchange(
    request: awc::ClientRequest,
    body: &Value,
    limit: Duration,
) -> Result<Response, Failure> {
    let sent = request.timeout(limit).send_json(body);
    match time::timeout(limit, receive(sent)).await {
        Ok(result) => result,
        Err(_) => Err(Failure::NoResponse("response timeout".to_owned())),
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
        // awc reports no error for a body that ends before its Content-Length.
        complete: announced.is_none_or(|l| l == body.len()),
        body,
    })
}

fn content_length<S>(response: &ClientResponse<S>) -> Option<usize> {
    let length = response.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// Maps a send error. awc reports a connection that closed before the response as a connect error
/// too, although the request may have been sent by then.
fn send_failure(error: SendRequestError) -> Failure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Failure::NoResponse("connection closed before the response".to_owned())
        }
        SendRequestError::Connect(e) => Failure::NotSent(e.to_string()),
        other => Failure::NoResponse(other.to_string()),
    }
}

/// Classifies the response to a request with this body. The body of a refusal takes precedence over
/// the header that says whether the request ran.
#[must_use]
pub fn classify(response: &Response, body: &Value) -> Outcome {
    if !response.complete {
        return outcome(Class::Unknown, "response body truncated");
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

/// Classifies the body of a 200 response, which must echo the request body.
fn classify_echo(response: &[u8], body: &Value) -> Outcome {
    let Ok(echo) = serde_json::from_slice::<Echo>(response) else {
        return outcome(Class::Wrong, "response body malformed");
    };
    if echo.echo != *body {
        let detail = format!(
            "sent {}, received the response to {}",
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
