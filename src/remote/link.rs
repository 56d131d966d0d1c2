//! JSON over HTTP to one address, with a deadline on every exchange.
//!
//! A connection that does not answer in time is closed, and so is every other idle one to the same
//! address: what lost track of one may have lost track of all that were open.

use std::{
    cell::RefCell,
    io::ErrorKind,
    time::Duration, //
};

use awc::{
    error::{
        ConnectError,
        SendRequestError, //
    },
    http::Method, //
};
use compact_str::CompactString;
use quick_error::quick_error;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    ids::ZoneId,
    wire, //
};

/// Largest answer that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// How long a connection may take to open. Shorter than the deadline of any exchange, so that a
/// message which was never sent is told from one whose answer was lost.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

quick_error! {
    /// Why an exchange failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The connection was refused, so that no process listens there: nothing was sent.
        Refused {
            display("the connection was refused")
        }
        /// No connection could be opened: nothing was sent.
        Unreachable {
            display("no connection could be opened")
        }
        /// No whole answer came in time: the message may have been acted upon.
        NoResponse {
            display("no whole answer came in time")
        }
        /// The other side answered with an error status.
        Status(status: u16) {
            display("answered with status {}", status)
        }
        /// The answer is not what the protocol says.
        Malformed(detail: String) {
            display("malformed answer: {}", detail)
        }
    }
}

impl Error {
    /// Whether the message may have been acted upon.
    #[must_use]
    pub fn may_have_applied(&self) -> bool {
        !matches!(self, Error::Refused | Error::Unreachable)
    }
}

/// Whether an exchange failed before a byte could leave.
///
/// Only an error of the connection's opening says so. [`ConnectError::Disconnected`] does not: the
/// library reports it for a connection that closed after the request went out, too.
#[must_use]
pub fn unsent(error: &SendRequestError) -> bool {
    let SendRequestError::Connect(cause) = error else {
        return false;
    };
    !matches!(cause, ConnectError::Disconnected)
}

fn classify(error: &SendRequestError) -> Error {
    if !unsent(error) {
        return Error::NoResponse;
    }
    match error {
        SendRequestError::Connect(ConnectError::Io(e))
            if e.kind() == ErrorKind::ConnectionRefused =>
        {
            Error::Refused
        }
        _ => Error::Unreachable,
    }
}

/// A message of one exchange.
#[derive(Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers beside those that every message has.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: bytes::Bytes,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: bytes::Bytes,
}

fn parse<B: DeserializeOwned>(response: Response) -> Result<B, Error> {
    if !(200..300).contains(&response.status) {
        return Err(Error::Status(response.status));
    }
    serde_json::from_slice(&response.body).map_err(|e| Error::Malformed(e.to_string()))
}

/// Connections to one address.
pub struct Link {
    address: CompactString,
    zone: ZoneId,
    idle_timeout: Duration,
    client: RefCell<awc::Client>,
}

/// A client with a pool of its own that keeps idle connections for `idle`.
#[must_use]
pub fn client(idle_timeout: Duration) -> awc::Client {
    let connector = awc::Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(idle_timeout)
        .conn_lifetime(idle_timeout * 20)
        .limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .no_default_headers()
        .finish()
}

impl Link {
    /// Connections to `address` for an instance in `zone`; opens none yet.
    #[must_use]
    pub fn new(address: &str, zone: &ZoneId, idle_timeout: Duration) -> Self {
        Self {
            address: address.into(),
            zone: zone.clone(),
            idle_timeout,
            client: RefCell::new(client(idle_timeout)),
        }
    }

    /// Sends `body` by POST and reads the answer.
    ///
    /// # Errors
    ///
    /// Returns what went wrong; see [`Error`] for whether the message may have been acted upon.
    pub async fn post<A, B>(&self, path: &str, body: &A, limit: Duration) -> Result<B, Error>
    where
        A: Serialize,
        B: DeserializeOwned,
    {
        let text = serde_json::to_vec(body).map_err(|e| Error::Malformed(e.to_string()))?;
        let request = Request {
            method: Method::POST,
            path,
            headers: &self.headers(),
            body: text.into(),
        };
        parse(self.call(request, limit).await?)
    }

    /// Reads an answer by GET.
    ///
    /// # Errors
    ///
    /// Returns what went wrong.
    pub async fn get<B: DeserializeOwned>(&self, path: &str, limit: Duration) -> Result<B, Error> {
        let request = Request {
            method: Method::GET,
            path,
            headers: &self.headers(),
            body: bytes::Bytes::new(),
        };
        parse(self.call(request, limit).await?)
    }

    fn headers(&self) -> [(&'static str, &str); 2] {
        [
            (wire::ZONE_HEADER, self.zone.as_str()),
            ("content-type", "application/json"),
        ]
    }

    /// Sends a message and reads the whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns why no whole answer came within `limit`.
    pub async fn call(&self, request: Request<'_>, limit: Duration) -> Result<Response, Error> {
        let Ok(result) = tokio::time::timeout(limit, self.exchange(request)).await else {
            self.discard_connections();
            return Err(Error::NoResponse);
        };
        result
    }

    async fn exchange(&self, request: Request<'_>) -> Result<Response, Error> {
        let uri = format!("http://{}{}", self.address, request.path);
        let client = self.client.borrow().clone();
        let mut builder = client.request(request.method, uri);
        for header in request.headers {
            builder = builder.insert_header(*header);
        }
        let sent = builder.send_body(request.body).await;
        let mut response = sent.map_err(|e| classify(&e))?;
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|_| Error::NoResponse)?;
        Ok(Response { status, body })
    }

    /// Leaves all open connections behind.
    fn discard_connections(&self) {
        self.client.replace(client(self.idle_timeout));
    }
}
