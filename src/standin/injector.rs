//! Middleware in front of the handlers that injects faults of the network and of whole processes.

use std::{
    io,
    sync::Arc,
    time::Duration, //
};

use actix_web::{
    Error,
    HttpMessage,
    HttpResponse,
    body::{
        BodySize,
        BoxBody,
        MessageBody,
        SizedStream,
        to_bytes, //
    },
    dev::{
        ServiceRequest,
        ServiceResponse, //
    },
    error::ErrorInternalServerError,
    http::header::{
        CONTENT_LENGTH,
        HeaderMap, //
    },
    middleware::Next,
    web, //
};
use bytes::Bytes;
use futures_util::{
    StreamExt,
    stream, //
};

use crate::{
    ids::Millis,
    standin::{
        connection::Connection,
        faults,
        lock,
        shared::{
            PLATFORM,
            Shared, //
        }, //
    },
    wire, //
};

/// Bytes of a request or status line without its path, plus the blank line after the headers.
const LINE_BYTES: usize = 18;

/// Bytes of a header without its name and value.
const SEPARATOR_BYTES: usize = 4;

/// Time between the last bytes of a truncated answer and its abort, for the server to send them.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Time at which a message arrived, before any fault delayed it.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalTime(pub Millis);

/// What happens to a message on its way to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// The message arrives.
    Deliver,
    /// The message waits in the target's socket and arrives later.
    Paused,
    /// The message is lost without an error.
    Dropped,
    /// The target refuses the message.
    Refused,
    /// The target's machine closes the connection.
    Closed,
}

/// One request and its answer, as the middleware sees them.
struct Exchange {
    shared: web::Data<Shared>,
    connection: Option<Arc<Connection>>,
    /// Index of the worker; absent for the platform.
    worker: Option<usize>,
    route: String,
    from: String,
    to: String,
}

/// Handles one request under the faults that are switched on.
///
/// # Errors
///
/// Returns the handler's error.
pub async fn inject(
    req: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    let exchange = Exchange::read(&req)?;
    let arrived = ArrivalTime(exchange.shared.now());
    req.extensions_mut().insert(arrived);
    exchange.count_request(&req);
    if let Some(answer) = exchange.deliver_request().await {
        return Ok(req.into_response(answer));
    }
    let answer = next.call(req).await?.map_into_boxed_body();
    exchange.deliver_answer(answer).await
}

impl Exchange {
    fn read(req: &ServiceRequest) -> Result<Self, Error> {
        let shared = req.app_data::<web::Data<Shared>>();
        let shared = shared.ok_or_else(|| ErrorInternalServerError("no state"))?;
        let port = req.app_config().local_addr().port();
        let worker = shared.worker_at(port);
        let to = worker.map(|w| lock(&shared.world).workers[w].spec.zone.to_string());
        let mut parts = req.path().trim_start_matches("/v1/").split('/');
        Ok(Self {
            shared: shared.clone(),
            connection: req.conn_data::<Arc<Connection>>().cloned(),
            worker,
            route: parts.next().unwrap_or_default().to_owned(),
            from: header(req.headers(), wire::ZONE_HEADER).to_owned(),
            to: to.unwrap_or_else(|| PLATFORM.to_owned()),
        })
    }

    /// Delivers the request to the handler. Returns an answer if a fault keeps it from the handler.
    async fn deliver_request(&self) -> Option<HttpResponse> {
        loop {
            match self.delivery() {
                Delivery::Deliver => return None,
                Delivery::Paused => self.wait_out(Delivery::Paused).await,
                Delivery::Dropped => {
                    self.wait_out(Delivery::Dropped).await;
                    return Some(self.close());
                }
                Delivery::Closed => return Some(self.close()),
                Delivery::Refused => return Some(HttpResponse::ServiceUnavailable().finish()),
            }
            if self.shared.stopping() {
                return Some(self.close());
            }
        }
    }

    /// Delivers the answer to the caller, or what the faults leave of it.
    async fn deliver_answer(&self, answer: ServiceResponse) -> Result<ServiceResponse, Error> {
        self.wait_out(Delivery::Paused).await;
        let faults = self.worker_faults();
        if faults.late > 0 {
            self.shared.sleep(Duration::from_millis(faults.late)).await;
        }
        if matches!(self.delivery(), Delivery::Dropped | Delivery::Closed) {
            lock(&self.shared.world).judge.counters.lost += 1;
            self.wait_out(Delivery::Dropped).await;
            return Ok(answer.into_response(self.close()));
        }
        if faults.errors {
            lock(&self.shared.world).judge.counters.lost += 1;
            let error = HttpResponse::InternalServerError().finish();
            return Ok(answer.into_response(error));
        }
        self.count_answer(&answer);
        if faults.cut {
            lock(&self.shared.world).judge.counters.cut += 1;
            return truncate(answer).await;
        }
        lock(&self.shared.world).judge.counters.whole += 1;
        Ok(answer)
    }

    fn delivery(&self) -> Delivery {
        if self.connection.as_ref().is_some_and(|c| c.silent()) || self.is_cut() {
            return Delivery::Dropped;
        }
        match self.worker {
            Some(worker) => self.worker_delivery(worker),
            None => self.platform_delivery(),
        }
    }

    fn is_cut(&self) -> bool {
        let cuts = &lock(&self.shared.faults).cuts;
        match self.worker {
            Some(_) => cuts.separates(&self.from, &self.to),
            None => cuts.isolates(&self.from),
        }
    }

    fn worker_delivery(&self, worker: usize) -> Delivery {
        let world = lock(&self.shared.world);
        let worker = &world.workers[worker];
        match (worker.up, worker.faults.hang) {
            (false, _) => Delivery::Closed,
            (true, true) => Delivery::Paused,
            (true, false) => Delivery::Deliver,
        }
    }

    fn platform_delivery(&self) -> Delivery {
        let platform = lock(&self.shared.faults).platform;
        let mode = match self.route.as_str() {
            "log" => platform.log,
            _ => platform.list,
        };
        match mode {
            faults::Mode::Up => Delivery::Deliver,
            faults::Mode::Refuse => Delivery::Refused,
            faults::Mode::Hang => Delivery::Dropped,
            faults::Mode::Drop => Delivery::Closed,
        }
    }

    async fn wait_out(&self, delivery: Delivery) {
        self.shared.wait_while(|| self.delivery() == delivery).await;
    }

    fn close(&self) -> HttpResponse {
        if let Some(connection) = &self.connection {
            connection.close();
        }
        HttpResponse::ServiceUnavailable().force_close().finish()
    }

    fn worker_faults(&self) -> faults::Worker {
        let Some(worker) = self.worker else {
            return faults::Worker::default();
        };
        lock(&self.shared.world).workers[worker].faults
    }

    fn count_request(&self, req: &ServiceRequest) {
        let length = req.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|l| l.to_str().ok()?.parse::<u64>().ok());
        let path = req.uri().to_string().len();
        let head = path + LINE_BYTES + head_size(req.headers());
        let bytes = head as u64 + length.unwrap_or_default();
        self.shared
            .count_received(&self.route, &self.from, &self.to, bytes);
    }

    fn count_answer(&self, answer: &ServiceResponse) {
        let BodySize::Sized(body) = answer.response().body().size() else {
            return;
        };
        let head = LINE_BYTES + head_size(answer.headers());
        let bytes = head as u64 + body;
        self.shared
            .count_sent(&self.route, &self.from, &self.to, bytes);
    }
}

/// Returns the text of a header; empty if the header is absent.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}

fn head_size(headers: &HeaderMap) -> usize {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES);
    sizes.sum()
}

/// Announces the length of the whole body, sends half of it and aborts.
async fn truncate(answer: ServiceResponse) -> Result<ServiceResponse, Error> {
    let (req, answer) = answer.into_parts();
    let (answer, body) = answer.into_parts();
    let body = to_bytes(body).await.unwrap_or_default();
    let half = body.slice(..body.len() / 2);
    let first = stream::iter([Ok(half)]);
    let rest = stream::once(Box::pin(abort()));
    let body = SizedStream::new(body.len() as u64, first.chain(rest));
    Ok(ServiceResponse::new(
        req,
        answer.set_body(BoxBody::new(body)),
    ))
}

/// Fails after the server has had time to send the preceding bytes.
async fn abort() -> Result<Bytes, io::Error> {
    tokio::time::sleep(FLUSH_DELAY).await;
    Err(io::Error::other("answer truncated by a fault"))
}
