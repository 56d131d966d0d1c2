//! `request`: sends one request and prints the response.

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
            Client, //
            Request,
            Response,
        },
        exit::Failure,
        output::{
            self,
            Format, //
        }, //
    },
    ids::{
        IdempotencyKey,
        ProfileName, //
    },
    wire, //
};

/// Maximum size of a request body from the standard input, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Printed form of a response.
#[derive(Debug, Serialize)]
struct ResponseView {
    /// Id of the request.
    request: String,
    /// HTTP status.
    status: u16,
    /// Whether the request ran: `yes`, `no` or `unknown`.
    ran: String,
    /// Body of the response; bytes that are not UTF-8 are replaced.
    body: String,
}

/// Sends a request and prints the response.
///
/// # Errors
///
/// Returns the refusal, or an error if no complete response arrived.
pub async fn request(args: &ArgMatches, format: Format) -> Result<(), Failure> {
    let name = args::string(args, "profile").unwrap_or_default();
    let name: ProfileName = args::identifier("profile", name)?;
    let request = Request {
        method: Method::POST,
        path: format!("/v1/requests/{name}"),
        headers: headers(args)?,
        body: body(args::string(args, "data").unwrap_or_default())?,
    };
    let client = Client::entry(args)?;
    let response = client.exchange(request).await?;
    if !response.status.is_success() {
        return Err(client.refusal(&response));
    }
    format.print(&view(&response), table);
    Ok(())
}

fn headers(args: &ArgMatches) -> Result<Vec<(&'static str, String)>, Failure> {
    let mut headers = Vec::new();
    if let Some(key) = args::string(args, "key") {
        let key: IdempotencyKey = args::identifier("key", key)?;
        headers.push((wire::KEY_HEADER, key.to_string()));
    }
    if let Some(span) = args::optional_duration(args, "deadline")? {
        headers.push((wire::DEADLINE_HEADER, span.to_string()));
    }
    Ok(headers)
}

/// Returns the request body: the text itself, the content of FILE for `@FILE`, or the standard
/// input for `@-`.
fn body(data: &str) -> Result<Bytes, Failure> {
    let Some(file) = data.strip_prefix('@') else {
        return Ok(Bytes::copy_from_slice(data.as_bytes()));
    };
    let file_error = |e| Failure::File(PathBuf::from(file), e);
    if file != "-" {
        return fs::read(file).map(Bytes::from).map_err(file_error);
    }
    let mut bytes = Vec::new();
    let mut input = io::stdin().lock().take(MAX_BODY_BYTES);
    input.read_to_end(&mut bytes).map_err(file_error)?;
    Ok(bytes.into())
}

fn view(response: &Response) -> ResponseView {
    ResponseView {
        request: response.header(wire::REQUEST_HEADER).to_owned(),
        status: response.status.as_u16(),
        ran: response.header(wire::RAN_HEADER).to_owned(),
        body: String::from_utf8_lossy(&response.body).into_owned(),
    }
}

/// Returns the body, so that it can be piped; status and id go to the standard error.
fn table(view: &ResponseView) -> String {
    let ResponseView {
        request,
        status,
        ran,
        body,
    } = view;
    output::progress(&format!("request {request}: status {status}, ran: {ran}"));
    match body.ends_with('\n') || body.is_empty() {
        true => body.clone(),
        false => format!("{body}\n"),
    }
}
