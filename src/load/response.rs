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

/// The largest answer that is read, in bytes.
const LARGEST: usize = 16 << 20;

/// An answer as it came in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The word of the execution; empty when there is none.
    pub ran: String,
    /// Whether as many bytes came as were announced.
    pub whole: bool,
    /// The body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug)]
pub enum Failure {
    /// No connection could be opened, so nothing was sent.
    Unsent(String),
    /// Something may have been sent.
    Lost(String),
}

/// The verdict on an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The outcome; never [`Class::Late`], which is for the caller to decide.
    pub class: Class,
    /// The code of a refusal.
    pub code: Option<Code>,
    /// The id of the execution.
    pub execution: CompactString,
    /// What is wrong.
    pub detail: String,
}

/// The body of a backend server's answer.
#[derive(Debug, Deserialize)]
struct Echo {
    request: CompactString,
    echo: Value,
}

/// Sends a JSON body and reads the whole answer within `limit`.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn exchange(
    request: awc::ClientRequest,
    body: &Value,
    limit: Duration,
) -> Result<Answer, Failure> {
    let sent = request.timeout(limit).send_json(body);
    match time::timeout(limit, read(sent)).await {
        Ok(result) => result,
        Err(_) => Err(Failure::Lost("no answer in time".to_owned())),
    }
}

async fn read(sent: awc::SendClientRequest) -> Result<Answer, Failure> {
    let mut answer = sent.await.map_err(failure)?;
    let announced = length(&answer);
    let ran = answer.headers().get(wire::RAN_HEADER);
    let ran = ran.and_then(|r| r.to_str().ok()).unwrap_or_default();
    let ran = ran.to_owned();
    let body = answer.body().limit(LARGEST).await;
    let body = body.map_err(|e| Failure::Lost(e.to_string()))?;
    Ok(Answer {
        status: answer.status().as_u16(),
        ran,
        // The HTTP client takes a body that ends early for a whole one.
        whole: announced.is_none_or(|l| l == body.len()),
        body,
    })
}

fn length<S>(answer: &ClientResponse<S>) -> Option<usize> {
    let length = answer.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// A connection that was closed before an answer is reported as a connect error too, though the
/// request was sent.
fn failure(error: SendRequestError) -> Failure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Failure::Lost("the connection was closed".to_owned())
        }
        SendRequestError::Connect(e) => Failure::Unsent(e.to_string()),
        other => Failure::Lost(other.to_string()),
    }
}

/// Judges the answer to a request with this body.
#[must_use]
pub fn judge(answer: &Answer, body: &Value) -> Verdict {
    if !answer.whole {
        return verdict(Class::Unknown, "the answer was cut short");
    }
    if answer.status == 200 {
        return judge_echo(&answer.body, body);
    }
    let refusal: Option<Refusal> = serde_json::from_slice(&answer.body).ok();
    let told = refusal.as_ref().map(|r| r.ran);
    let ran = told.unwrap_or_else(|| word(&answer.ran));
    let class = match ran {
        Ran::No => Class::Refused,
        Ran::Yes => Class::Failed,
        Ran::Unknown => Class::Unknown,
    };
    Verdict {
        code: refusal.as_ref().map(|r| r.code),
        ..verdict(class, &format!("status {}", answer.status))
    }
}

/// Judges the body of a good answer.
fn judge_echo(answer: &[u8], body: &Value) -> Verdict {
    let Ok(echo) = serde_json::from_slice::<Echo>(answer) else {
        return verdict(Class::Wrong, "the answer is malformed");
    };
    if echo.echo != *body {
        let detail = format!(
            "sent {}, got the answer to {}",
            body["work"], echo.echo["work"]
        );
        return verdict(Class::Wrong, &detail);
    }
    Verdict {
        execution: echo.request,
        ..verdict(Class::Good, "")
    }
}

fn word(ran: &str) -> Ran {
    match ran {
        "yes" => Ran::Yes,
        "no" => Ran::No,
        _ => Ran::Unknown,
    }
}

fn verdict(class: Class, detail: &str) -> Verdict {
    Verdict {
        class,
        code: None,
        execution: CompactString::default(),
        detail: detail.to_owned(),
    }
}
