//! HTTP to an entry instance or the administration API, with a deadline on every exchange.

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

/// Largest answer that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Characters of an answer that is not understood which are shown.
const SNIPPET_CHARS: usize = 200;

/// The part of the time limit in which a connection must open is one over this.
const CONNECT_DIVISOR: u32 = 2;

/// The environment variable that holds the token of the administration API.
pub const TOKEN_VARIABLE: &str = "BAMBOOLOCK_TOKEN";

/// A call.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers beside those of every call.
    pub headers: Vec<(&'a str, String)>,
    /// The body.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: header::HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A server to talk to.
pub struct Client {
    http: awc::Client,
    address: String,
    token: Option<CompactString>,
    timeout: Duration,
}

impl Request<'_> {
    /// A call without a body.
    #[must_use]
    pub fn empty(method: Method, path: String) -> Self {
        Self {
            method,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// A call whose body is a value as JSON.
    ///
    /// # Errors
    ///
    /// Returns a usage failure when the value has no JSON.
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
    /// A header's text; empty when it misses.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or("")
    }
}

impl Client {
    /// Callers' side of the entry instance that the command line names.
    ///
    /// # Errors
    ///
    /// Returns a usage failure for a wrong option.
    pub fn entry(args: &ArgMatches) -> Result<Self, Failure> {
        Self::new(args, args::address(args, &args::ENTRY), None)
    }

    /// The administration API that the command line names, with the token.
    ///
    /// # Errors
    ///
    /// Returns a usage failure for a wrong option, and what is wrong with the token file.
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

    /// Makes a call and reads its answer as a value.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or that no usable answer came.
    pub async fn call<T: DeserializeOwned>(&self, request: Request<'_>) -> Result<T, Failure> {
        let response = self.exchange(request).await?;
        if !response.status.is_success() {
            return Err(self.refusal(&response));
        }
        serde_json::from_slice(&response.body).map_err(|e| {
            let reason = format!("answer not understood: {e}: {}", snippet(&response.body));
            Failure::Unreachable(self.address.clone(), reason)
        })
    }

    /// Makes a call and reads its whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns that no answer came, and whether the call may have taken effect.
    pub async fn exchange(&self, request: Request<'_>) -> Result<Response, Failure> {
        let safe = request.method == Method::GET;
        match tokio::time::timeout(self.timeout, self.send(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(SendError::NotSent(reason))) => Err(self.unreachable(reason)),
            Ok(Err(SendError::Sent(reason))) => Err(self.no_response(safe, reason)),
            Err(_) => {
                let timeout = self.timeout.as_millis();
                Err(self.no_response(safe, format!("no whole answer in {timeout} ms")))
            }
        }
    }

    /// The failure that an answer with an error status means.
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

/// Why no answer came.
enum SendError {
    /// The call did not leave.
    NotSent(String),
    /// The call may have arrived.
    Sent(String),
}

impl From<SendRequestError> for SendError {
    fn from(e: SendRequestError) -> Self {
        match e {
            // The connection was closed before the answer: the call may have arrived.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Self::Sent("the connection was closed before an answer came".to_owned())
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

/// The token from the file that the command line names, or from the environment.
fn token(args: &ArgMatches) -> Result<Option<CompactString>, Failure> {
    let Some(path) = args.get_one::<PathBuf>("token-file") else {
        let token = std::env::var(TOKEN_VARIABLE).ok();
        return Ok(token.map(CompactString::from));
    };
    let text = std::fs::read_to_string(path).map_err(|e| Failure::File(path.clone(), e))?;
    Ok(Some(text.trim().into()))
}
