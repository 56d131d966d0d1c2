//! HTTP client for an entry instance or the administration API, with a timeout on every request.

use std::{
    path::PathBuf,
    time::Duration, //
};

use actix_web::http::{
    Method,
    StatusCode,
    header, //
};
use awc::error::{
    ConnectError,
    SendRequestError, //
};
use bytes::Bytes;
use clap::ArgMatches;
use compact_str::CompactString;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    cli::{
        args,
        exit::Failure, //
    },
    wire::{
        admin::Conflict,
        caller::{
            Code,
            Refusal, //
        }, //
    }, //
};

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Number of characters that an error message quotes from an unexpected response body.
const SNIPPET_CHARS: usize = 200;

/// A connection must open within the request timeout divided by this.
const CONNECT_DIVISOR: u32 = 2;

/// Environment variable with the token of the administration API.
pub const TOKEN_VARIABLE: &str = "BAMBOOLOCK_TOKEN";

/// An HTTP request.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers in addition to those of every request.
    pub headers: Vec<(&'a str, String)>,
    /// Body of the request.
    pub body: Bytes,
}

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: header::HeaderMap,
    /// Body of the response.
    pub body: Bytes,
}

/// HTTP client for one server.
pub struct Client {
    http: awc::Client,
    address: String,
    token: Option<CompactString>,
    timeout: Duration,
}

impl Request<'_> {
    /// Creates a request without a body.
    #[must_use]
    pub fn empty(method: Method, path: String) -> Self {
        Self {
            method,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a request with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns a usage failure if the value cannot be serialised.
    pub fn json<T: Serialize>(method: Method, path: String, value: &T) -> Result<Self, Failure> {
        let body = serde_json::to_vec(value).map_err(|e| Failure::Usage(e.to_string()))?;
        let content = ("content-type", "application/json".to_owned());
        Ok(Self {
            method,
            path,
            headers: vec![content],
            body: body.into(),
        })
    }
}

impl Response {
    /// Returns the value of a header; empty if the header is missing or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or("")
    }
}

impl Client {
    /// Creates a client for the entry instance from the command line.
    ///
    /// # Errors
    ///
    /// Returns a usage failure for an invalid option.
    pub fn entry(args: &ArgMatches) -> Result<Self, Failure> {
        Self::new(args, args::address(args, &args::ENTRY), None)
    }

    /// Creates a client for the administration API from the command line, with the token.
    ///
    /// # Errors
    ///
    /// Returns a usage failure for an invalid option, or an error if the token file cannot be read.
    pub fn admin(args: &ArgMatches) -> Result<Self, Failure> {
        Self::new(args, args::address(args, &args::ADMIN), token(args)?)
    }

    fn new(
        args: &ArgMatches,
        address: String,
        token: Option<CompactString>,
    ) -> Result<Self, Failure> {
        let timeout = Duration::from_millis(args::duration(args, "timeout")?);
        let connector = awc::Connector::new().timeout(timeout / CONNECT_DIVISOR);
        let http = awc::Client::builder().connector(connector);
        let http = http.disable_timeout().finish();
        Ok(Self {
            http,
            address,
            token,
            timeout,
        })
    }

    /// Sends a request and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or an error if there is no usable response.
    pub async fn call<T: DeserializeOwned>(&self, request: Request<'_>) -> Result<T, Failure> {
        let response = self.exchange(request).await?;
        if !response.status.is_success() {
            return Err(self.refusal(&response));
        }
        serde_json::from_slice(&response.body).map_err(|e| {
            let reason = format!(
                "cannot parse the response: {e}: {}",
                snippet(&response.body)
            );
            Failure::Unreachable(self.address.clone(), reason)
        })
    }

    /// Sends a request and reads the complete response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrived; its kind says whether the request may have taken
    /// effect.
    pub async fn exchange(&self, request: Request<'_>) -> Result<Response, Failure> {
        let safe = request.method == Method::GET;
        match tokio::time::timeout(self.timeout, self.send(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(SendError::NotSent(reason))) => Err(self.unreachable(reason)),
            Ok(Err(SendError::Sent(reason))) => Err(self.no_response(safe, reason)),
            Err(_) => {
                let timeout = self.timeout.as_millis();
                Err(self.no_response(safe, format!("no complete response within {timeout} ms")))
            }
        }
    }

    /// Converts a response with an error status into a failure.
    #[must_use]
    pub fn refusal(&self, response: &Response) -> Failure {
        let conflict = serde_json::from_slice::<Conflict>(&response.body);
        if let Ok(conflict) = conflict
            && conflict.refusal.code == Code::Conflict
        {
            return Failure::Conflict(Box::new(conflict));
        }
        match serde_json::from_slice::<Refusal>(&response.body) {
            Ok(refusal) => Failure::Refused(Box::new(refusal)),
            Err(_) => {
                let reason = format!("{}: {}", response.status, snippet(&response.body));
                self.unreachable(reason)
            }
        }
    }

    async fn send(&self, request: Request<'_>) -> Result<Response, SendError> {
        let url = format!("http://{}{}", self.address, request.path);
        let mut builder = self.http.request(request.method, url);
        for (name, value) in &request.headers {
            builder = builder.insert_header((*name, value.as_str()));
        }
        if let Some(token) = &self.token {
            builder = builder.bearer_auth(token);
        }
        let mut response = builder
            .send_body(request.body)
            .await
            .map_err(SendError::from)?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        Ok(Response {
            status: response.status(),
            headers: response.headers().clone(),
            body: body.map_err(|e| SendError::Sent(e.to_string()))?,
        })
    }

    fn unreachable(&self, reason: String) -> Failure {
        Failure::Unreachable(self.address.clone(), reason)
    }

    fn no_response(&self, safe: bool, reason: String) -> Failure {
        match safe {
            true => self.unreachable(reason),
            false => Failure::OutcomeUnknown(self.address.clone(), reason),
        }
    }
}

/// Why a request got no response.
enum SendError {
    /// The request was not sent.
    NotSent(String),
    /// The request was sent and may have reached the server.
    Sent(String),
}

impl From<SendRequestError> for SendError {
    fn from(e: SendRequestError) -> Self {
        match e {
            // The server closed the connection before it responded; it may have handled the
            // request.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Self::Sent("connection closed before a response arrived".to_owned())
            }
            SendRequestError::Url(_) | SendRequestError::Connect(_) => Self::NotSent(e.to_string()),
            _ => Self::Sent(e.to_string()),
        }
    }
}

fn snippet(body: &[u8]) -> String {
    String::from_utf8_lossy(body)
        .chars()
        .take(SNIPPET_CHARS)
        .collect()
}

/// Reads the token from the file of the command line, or from the environment.
fn token(args: &ArgMatches) -> Result<Option<CompactString>, Failure> {
    let Some(path) = args.get_one::<PathBuf>("token-file") else {
        let token = std::env::var(TOKEN_VARIABLE).ok();
        return Ok(token.map(CompactString::from));
    };
    let text = std::fs::read_to_string(path).map_err(|e| Failure::File(path.clone(), e))?;
    Ok(Some(text.trim().into()))
}
