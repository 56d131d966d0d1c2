//! Client of the platform's append-only log.
//!
//! Every exchange has a deadline. After one that timed out all pooled connections are dropped, so
//! that a connection which went silent is never used again.

use std::{
    cell::RefCell,
    future::Future,
    net::SocketAddr,
    time::Duration, //
};

use awc::error::{
    ConnectError,
    SendRequestError, //
};
use quick_error::quick_error;
use rand::Rng;
use serde::de::DeserializeOwned;

use crate::{
    configs,
    ids::{
        Offset,
        ZoneId, //
    },
    wire::{
        ZONE_HEADER,
        log, //
    },
};

/// Largest answer that is read, in bytes.
const BODY: usize = 256 * 1_024 * 1_024;

/// Most entries asked for in one read.
const PAGE: u32 = 1_000;

/// How often the backoff doubles at most.
const DOUBLINGS: u32 = 5;

quick_error! {
    /// Why an exchange with the log failed.
    #[derive(Debug)]
    pub enum Error {
        /// No connection could be opened: nothing was sent.
        Connect(text: String) {
            display("the log cannot be reached: {}", text)
        }
        /// No whole answer came in time.
        Timeout {
            display("the log did not answer in time")
        }
        /// The connection failed during the exchange.
        Broken(text: String) {
            display("the exchange with the log broke off: {}", text)
        }
        /// The log answered with an error.
        Status(code: u16) {
            display("the log answered with status {}", code)
        }
    }
}

impl Error {
    /// Whether an append that failed so may have taken effect all the same.
    #[must_use]
    pub fn pending(&self) -> bool {
        !matches!(self, Error::Connect(_))
    }
}

/// A client of the log. It stays on the thread that made it.
pub struct Client {
    base: String,
    zone: ZoneId,
    cfg: configs::log::Log,
    http: RefCell<awc::Client>,
}

impl Client {
    /// A client of the log at an address, for an instance in `zone`.
    #[must_use]
    pub fn new(platform: SocketAddr, zone: ZoneId, cfg: configs::log::Log) -> Self {
        Self {
            base: format!("http://{platform}/v1/log"),
            zone,
            http: RefCell::new(connect(cfg.timeout)),
            cfg,
        }
    }

    /// Appends one entry.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer came; [`Error::pending`] says what that means for the entry.
    pub async fn append(&self, payload: &str) -> Result<log::Appended, Error> {
        let body = log::Append {
            payload: payload.to_owned(),
        };
        let request = self.client().post(format!("{}/append", self.base));
        let request = request.insert_header((ZONE_HEADER, self.zone.as_str()));
        self.within(self.cfg.timeout, answer(request.send_json(&body)))
            .await
    }

    /// Reads the entries from an offset on; waits at the log for a first one.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer came.
    pub async fn read(&self, from: Offset) -> Result<log::Page, Error> {
        let wait = u64::try_from(self.cfg.poll.as_millis()).unwrap_or(u64::MAX);
        let url = format!("{}/read?from={from}&max={PAGE}&wait={wait}", self.base);
        let request = self.client().get(url);
        let request = request.insert_header((ZONE_HEADER, self.zone.as_str()));
        self.within(self.cfg.poll + self.cfg.timeout, answer(request.send()))
            .await
    }

    fn client(&self) -> awc::Client {
        self.http.borrow().clone()
    }

    async fn within<T>(
        &self,
        limit: Duration,
        exchange: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let result = match tokio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout),
        };
        if matches!(result, Err(Error::Timeout | Error::Broken(_))) {
            self.http.replace(connect(self.cfg.timeout));
        }
        result
    }
}

/// A client with an empty pool of connections.
fn connect(timeout: Duration) -> awc::Client {
    // Half of the deadline, so that a failure to connect is told from a lost answer.
    let connector = awc::Connector::new().timeout(timeout / 2);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

async fn answer<T: DeserializeOwned>(sent: awc::SendClientRequest) -> Result<T, Error> {
    let mut response = sent.await.map_err(failure)?;
    if !response.status().is_success() {
        return Err(Error::Status(response.status().as_u16()));
    }
    let body = response.body().limit(BODY).await;
    let body = body.map_err(|e| Error::Broken(e.to_string()))?;
    serde_json::from_slice(&body).map_err(|e| Error::Broken(e.to_string()))
}

fn failure(e: SendRequestError) -> Error {
    match e {
        // Despite its name, this one also stands for a connection that closed before its answer.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Error::Broken("the connection closed before the answer".to_owned())
        }
        SendRequestError::Connect(e) => Error::Connect(e.to_string()),
        SendRequestError::Timeout => Error::Timeout,
        e => Error::Broken(e.to_string()),
    }
}

/// How long to wait after the `failures`th failure in a row: doubles, with jitter.
#[must_use]
pub fn backoff(first: Duration, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(DOUBLINGS);
    let longest = first * 2_u32.pow(doublings);
    longest.mul_f64(rand::rng().random_range(0.5..=1.0))
}
