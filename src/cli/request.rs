//! `request`: one request and its whole answer.

use std::{
    fs,
    io::{
        self,
        Read, //
    },
    path::PathBuf, //
};

use actix_web::http::Method;
use bytes::Bytes;
use clap::ArgMatches;
use serde::Serialize;

use crate::{
    cli::{
        args,
        client::{
            Answer,
            Call,
            Client, //
        },
        exit::Failure,
        output::{
            self,
            Output, //
        }, //
    },
    ids::{
        IdempotencyKey,
        ProfileName, //
    },
    wire, //
};

/// Largest body, in bytes.
const MAX_BODY: u64 = 16 << 20;

/// An answer as it is shown.
#[derive(Debug, Serialize)]
struct Shown {
    /// The request's id.
    request: String,
    /// HTTP status.
    status: u16,
    /// Whether it ran.
    ran: String,
    /// The body; bytes that are no UTF-8 are replaced.
    body: String,
}

/// Sends a request.
///
/// # Errors
///
/// Returns the refusal, or that no whole answer came.
pub async fn request(args: &ArgMatches, output: Output) -> Result<(), Failure> {
    let name = args::text(args, "profile").unwrap_or_default();
    let name: ProfileName = args::identifier("profile", name)?;
    let call = Call {
        method: Method::POST,
        path: format!("/v1/requests/{name}"),
        headers: headers(args)?,
        body: body(args::text(args, "data").unwrap_or_default())?,
    };
    let client = Client::entry(args)?;
    let answer = client.exchange(call).await?;
    if !answer.status.is_success() {
        return Err(client.refusal(&answer));
    }
    output.show(&shown(&answer), table);
    Ok(())
}

fn headers(args: &ArgMatches) -> Result<Vec<(&'static str, String)>, Failure> {
    let mut headers = Vec::new();
    if let Some(key) = args::text(args, "key") {
        let key: IdempotencyKey = args::identifier("key", key)?;
        headers.push((wire::KEY_HEADER, key.to_string()));
    }
    if let Some(span) = args::maybe_span(args, "deadline")? {
        headers.push((wire::DEADLINE_HEADER, span.to_string()));
    }
    Ok(headers)
}

/// The body: the text itself, a file's content after `@`, or the standard input after `@-`.
fn body(data: &str) -> Result<Bytes, Failure> {
    let Some(file) = data.strip_prefix('@') else {
        return Ok(Bytes::copy_from_slice(data.as_bytes()));
    };
    let fault = |e| Failure::File(PathBuf::from(file), e);
    if file != "-" {
        return fs::read(file).map(Bytes::from).map_err(fault);
    }
    let mut read = Vec::new();
    let mut input = io::stdin().lock().take(MAX_BODY);
    input.read_to_end(&mut read).map_err(fault)?;
    Ok(read.into())
}

fn shown(answer: &Answer) -> Shown {
    Shown {
        request: answer.header(wire::REQUEST_HEADER).to_owned(),
        status: answer.status.as_u16(),
        ran: answer.header(wire::RAN_HEADER).to_owned(),
        body: String::from_utf8_lossy(&answer.body).into_owned(),
    }
}

/// The body alone, so that it can be piped on; the rest is progress.
fn table(shown: &Shown) -> String {
    let Shown {
        request,
        status,
        ran,
        body,
    } = shown;
    output::progress(&format!("request {request}: status {status}, ran: {ran}"));
    match body.ends_with('\n') || body.is_empty() {
        true => body.clone(),
        false => format!("{body}\n"),
    }
}
