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
const MAX_ANSWER: usize = 64 << 20;

/// Characters of an answer that is not understood which are shown.
const SNIPPET: usize = 200;

/// The part of the time limit in which a connection must open is one over this.
const CONNECT_PART: u32 = 2;

/// The environment variable that holds the token of the administration API.
pub const TOKEN_VARIABLE: &str = "BAMBOOLOCK_TOKEN";

/// A call.
#[derive(Debug, Clone)]
pub struct Call<'a> {
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
pub struct Answer {
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
    limit: Duration,
}

impl Call<'_> {
    /// A call without a body.
    #[must_use]
    pub fn plain(method: Method, path: String) -> Self {
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

impl Answer {
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
        let limit = Duration::from_millis(args::span(args, "timeout")?);
        let connector = awc::Connector::new().timeout(limit / CONNECT_PART);
        let http = awc::Client::builder().connector(connector);
        let http = http.disable_timeout().finish();
        Ok(Self {
            http,
            address,
            token,
            limit,
        })
    }

    /// Makes a call and reads its answer as a value.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or that no usable answer came.
    pub async fn call<T: DeserializeOwned>(&self, call: Call<'_>) -> Result<T, Failure> {
        let answer = self.exchange(call).await?;
        if !answer.status.is_success() {
            return Err(self.refusal(&answer));
        }
        serde_json::from_slice(&answer.body).map_err(|e| {
            let reason = format!("answer not understood: {e}: {}", snippet(&answer.body));
            Failure::Unreachable(self.address.clone(), reason)
        })
    }

    /// Makes a call and reads its whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns that no answer came, and whether the call may have taken effect.
    pub async fn exchange(&self, call: Call<'_>) -> Result<Answer, Failure> {
        let safe = call.method == Method::GET;
        match tokio::time::timeout(self.limit, self.send(call)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(Lost::Unsent(reason))) => Err(self.unreachable(reason)),
            Ok(Err(Lost::Sent(reason))) => Err(self.lost(safe, reason)),
            Err(_) => {
                let limit = self.limit.as_millis();
                Err(self.lost(safe, format!("no whole answer in {limit} ms")))
            }
        }
    }

    /// The failure that an answer with an error status means.
    #[must_use]
    pub fn refusal(&self, answer: &Answer) -> Failure {
        let conflict = serde_json::from_slice::<Conflict>(&answer.body);
        if let Ok(conflict) = conflict
            && conflict.refusal.code == Code::Conflict
        {
            return Failure::Lost(Box::new(conflict));
        }
        match serde_json::from_slice::<Refusal>(&answer.body) {
            Ok(refusal) => Failure::Refused(Box::new(refusal)),
            Err(_) => {
                let reason = format!("{}: {}", answer.status, snippet(&answer.body));
                self.unreachable(reason)
            }
        }
    }

    async fn send(&self, call: Call<'_>) -> Result<Answer, Lost> {
        let url = format!("http://{}{}", self.address, call.path);
        let mut request = self.http.request(call.method, url);
        for (name, value) in &call.headers {
            request = request.insert_header((*name, value.as_str()));
        }
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let mut response = request.send_body(call.body).await.map_err(Lost::from)?;
        let body = response.body().limit(MAX_ANSWER).await;
        Ok(Answer {
            status: response.status(),
            headers: response.headers().clone(),
            body: body.map_err(|e| Lost::Sent(e.to_string()))?,
        })
    }

    fn unreachable(&self, reason: String) -> Failure {
        Failure::Unreachable(self.address.clone(), reason)
    }

    fn lost(&self, safe: bool, reason: String) -> Failure {
        match safe {
            true => self.unreachable(reason),
            false => Failure::Unknown(self.address.clone(), reason),
        }
    }
}

/// Why no answer came.
enum Lost {
    /// The call did not leave.
    Unsent(String),
    /// The call may have arrived.
    Sent(String),
}

impl From<SendRequestError> for Lost {
    fn from(e: SendRequestError) -> Self {
        match e {
            // The connection was closed before the answer: the call may have arrived.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Self::Sent("the connection was closed before an answer came".to_owned())
            }
            SendRequestError::Url(_) | SendRequestError::Connect(_) => Self::Unsent(e.to_string()),
            _ => Self::Sent(e.to_string()),
        }
    }
}

fn snippet(body: &[u8]) -> String {
    String::from_utf8_lossy(body)
        .chars()
        .take(SNIPPET)
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
