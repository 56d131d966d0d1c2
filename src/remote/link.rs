//! JSON over HTTP to one address, with a timeout for every exchange.
//!
//! After a timeout, all open connections to the address are discarded: a fault on the path, such as
//! a lost connection state, that broke one of them may have broken all.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io::ErrorKind,
    rc::Rc,
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
use futures_util::StreamExt;
use quick_error::quick_error;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio::time::{
    self,
    Instant,
    error::Elapsed, //
};

use crate::{
    ids::ZoneId,
    wire, //
};

use super::uplink::{
    Kind,
    Uplink, //
};

/// Maximum size of a response's body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Timeout for opening a connection. It is shorter than the timeout of any exchange, so that a
/// request that was never sent is distinguished from one whose response was lost.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for the body of a bulk response that keeps arriving.
const MAX_TRANSFER: Duration = Duration::from_secs(20);

quick_error! {
    /// Why an exchange failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The connection was refused because no process listens at the address: nothing was sent.
        Refused {
            display("connection refused")
        }
        /// No connection could be opened: nothing was sent.
        Unreachable {
            display("connection could not be opened")
        }
        /// No complete response arrived in time: the request may have taken effect.
        NoResponse {
            display("no complete response arrived")
        }
        /// The server responded with an error status.
        Status(status: u16) {
            display("response has status {}", status)
        }
        /// The response does not follow the protocol.
        Malformed(detail: String) {
            display("malformed message: {}", detail)
        }
    }
}

impl Error {
    /// Whether the request may have taken effect.
    #[must_use]
    pub fn may_have_applied(&self) -> bool {
        !matches!(self, Error::Refused | Error::Unreachable)
    }
}

/// Whether an exchange failed before any byte of the request was sent.
///
/// Only an error while opening the connection proves this. [`ConnectError::Disconnected`] does not:
/// the library also reports it for a connection that was closed after the request was sent.
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

/// An HTTP request.
#[derive(Debug)]
pub struct Request<'a> {
    /// Kind of the message.
    pub kind: Kind,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URL.
    pub path: &'a str,
    /// Headers in addition to those that the HTTP client sets.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body of the message.
    pub body: bytes::Bytes,
}

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body of the message.
    pub body: bytes::Bytes,
}

/// Returns the body of a response that reports success.
fn success(response: Response) -> Result<bytes::Bytes, Error> {
    match response.status {
        200..300 => Ok(response.body),
        status => Err(Error::Status(status)),
    }
}

fn parse<B: DeserializeOwned>(body: &[u8]) -> Result<B, Error> {
    serde_json::from_slice(body).map_err(|e| Error::Malformed(e.to_string()))
}

/// Response whose body has not been read.
type ClientBody = awc::ClientResponse;

/// An exchange in progress, until this is dropped.
struct Active<'a>(&'a Link);

impl<'a> Active<'a> {
    fn begin(link: &'a Link) -> Self {
        link.active.set(link.active.get() + 1);
        Self(link)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
        self.0.used_at.set(Some(Instant::now()));
    }
}

/// Body of a large response that is being received, until this is dropped.
struct Receiving<'a> {
    link: &'a Link,
    began: Instant,
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.link.receiving.set(0);
        self.link.transfer_time.set(self.began.elapsed());
    }
}

/// Connections to one address.
pub struct Link {
    address: CompactString,
    zone: ZoneId,
    idle_timeout: Duration,
    client: RefCell<awc::Client>,
    uplink: Option<Rc<Uplink>>,
    /// Bytes received so far of a large response.
    receiving: Cell<usize>,
    /// Time that the body of the last large response took.
    transfer_time: Cell<Duration>,
    /// Number of exchanges in progress.
    active: Cell<usize>,
    /// Time of the last exchange; `None` once all connections are closed.
    used_at: Cell<Option<Instant>>,
}

/// Creates an HTTP client with its own connection pool, which keeps idle connections for
/// `idle_timeout`.
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
    /// Creates a link to `address` for an instance in `zone`, without opening a connection.
    #[must_use]
    pub fn new(address: &str, zone: &ZoneId, idle_timeout: Duration) -> Self {
        Self {
            address: address.into(),
            zone: zone.clone(),
            idle_timeout,
            client: RefCell::new(client(idle_timeout)),
            uplink: None,
            receiving: Cell::new(0),
            transfer_time: Cell::new(Duration::ZERO),
            active: Cell::new(0),
            used_at: Cell::new(None),
        }
    }

    /// Time that the body of the last large response took to arrive.
    #[must_use]
    pub fn transfer_time(&self) -> Duration {
        self.transfer_time.get()
    }

    /// Bytes received so far of a large response that is still arriving.
    #[must_use]
    pub fn receiving(&self) -> usize {
        self.receiving.get()
    }

    /// Counts the traffic of this link on `uplink`.
    #[must_use]
    pub fn over(mut self, uplink: &Rc<Uplink>) -> Self {
        self.uplink = Some(uplink.clone());
        self
    }

    /// Sends `body` by POST and decodes the response.
    ///
    /// # Errors
    ///
    /// Returns why the exchange failed; [`Error`] tells whether the request may have taken effect.
    pub async fn post<A, B>(&self, path: &str, body: &A, limit: Duration) -> Result<B, Error>
    where
        A: Serialize,
        B: DeserializeOwned,
    {
        self.post_kind(Kind::Other, path, body, limit).await
    }

    /// Sends `body` by POST as a message of `kind`, and decodes the response.
    ///
    /// # Errors
    ///
    /// Returns why the exchange failed; [`Error`] tells whether the request may have taken effect.
    pub async fn post_kind<A, B>(
        &self,
        kind: Kind,
        path: &str,
        body: &A,
        limit: Duration,
    ) -> Result<B, Error>
    where
        A: Serialize,
        B: DeserializeOwned,
    {
        let text = serde_json::to_vec(body).map_err(|e| Error::Malformed(e.to_string()))?;
        let request = Request {
            kind,
            method: Method::POST,
            path,
            headers: &self.headers(),
            body: text.into(),
        };
        parse(&success(self.call(request, limit).await?)?)
    }

    /// Sends a GET request and decodes the response.
    ///
    /// # Errors
    ///
    /// Returns why the exchange failed.
    pub async fn get<B: DeserializeOwned>(&self, path: &str, limit: Duration) -> Result<B, Error> {
        parse(&self.get_text(path, limit).await?)
    }

    /// Sends a GET request and returns the body of the response.
    ///
    /// # Errors
    ///
    /// Returns why the exchange failed.
    pub async fn get_text(&self, path: &str, limit: Duration) -> Result<bytes::Bytes, Error> {
        let request = Request {
            kind: Kind::Other,
            method: Method::GET,
            path,
            headers: &self.headers(),
            body: bytes::Bytes::new(),
        };
        success(self.call(request, limit).await?)
    }

    fn headers(&self) -> [(&'static str, &str); 2] {
        [
            (wire::ZONE_HEADER, self.zone.as_str()),
            ("content-type", "application/json"),
        ]
    }

    /// Sends a request and reads the complete response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns why no complete response arrived within `limit`.
    pub async fn call(&self, request: Request<'_>, limit: Duration) -> Result<Response, Error> {
        let (kind, len) = (request.kind, request.path.len() + request.body.len());
        let began = Instant::now();
        let _active = Active::begin(self);
        if let Some(uplink) = &self.uplink {
            uplink.count_sent(kind, len);
        }
        let result = if kind == Kind::Read {
            let transfer = self.transfer(request, limit);
            time::timeout(MAX_TRANSFER + limit, transfer)
                .await
                .and_then(|result| result)
        } else {
            time::timeout(limit, self.exchange(request)).await
        };
        let Ok(result) = result else {
            self.discard_connections();
            return Err(Error::NoResponse);
        };
        if let (Some(uplink), Ok(response)) = (&self.uplink, &result) {
            uplink.count_received(kind, response.body.len());
            uplink.observe_round_trip(kind, began.elapsed());
        }
        result
    }

    async fn exchange(&self, request: Request<'_>) -> Result<Response, Error> {
        let mut response = self.send(request).await?;
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|_| Error::NoResponse)?;
        Ok(Response { status, body })
    }

    /// Sends a request whose response may be large. `limit` bounds the time without any progress
    /// instead of the whole exchange, and the body is read at the pace of the link.
    ///
    /// Handles a large configuration on a slow link: a limit for the whole body would end each
    /// attempt halfway and fill the link for nothing.
    async fn transfer(
        &self,
        request: Request<'_>,
        limit: Duration,
    ) -> Result<Result<Response, Error>, Elapsed> {
        let mut response = match time::timeout(limit, self.send(request)).await? {
            Ok(response) => response,
            Err(e) => return Ok(Err(e)),
        };
        let status = response.status().as_u16();
        let mut body = bytes::BytesMut::new();
        let _receiving = Receiving {
            link: self,
            began: Instant::now(),
        };
        while let Some(chunk) = time::timeout(limit, response.next()).await? {
            let Ok(chunk) = chunk else {
                return Ok(Err(Error::NoResponse));
            };
            if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                return Ok(Err(Error::NoResponse));
            }
            body.extend_from_slice(&chunk);
            self.receiving.set(body.len());
            if let Some(uplink) = &self.uplink {
                uplink.yield_after(chunk.len()).await;
            }
        }
        let body = body.freeze();
        Ok(Ok(Response { status, body }))
    }

    async fn send(&self, request: Request<'_>) -> Result<ClientBody, Error> {
        let uri = format!("http://{}{}", self.address, request.path);
        let client = self.client.borrow().clone();
        let mut builder = client.request(request.method, uri);
        for header in request.headers {
            builder = builder.insert_header(*header);
        }
        let sent = builder.send_body(request.body).await;
        sent.map_err(|e| classify(&e))
    }

    /// Whether connections to the address may be open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.active.get() > 0 || self.used_at.get().is_some()
    }

    /// Closes the connections if none was used for `span`. The connection pool itself checks the age
    /// of a connection only when it is used again.
    pub fn close_idle(&self, span: Duration) {
        let idle = self.used_at.get().is_some_and(|at| at.elapsed() >= span);
        if idle && self.active.get() == 0 {
            self.used_at.set(None);
            self.discard_connections();
        }
    }

    /// Discards all open connections; the next exchange opens a new one.
    fn discard_connections(&self) {
        self.client.replace(client(self.idle_timeout));
    }
}
