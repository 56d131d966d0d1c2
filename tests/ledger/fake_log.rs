//! In-memory log service over HTTP with fault injection.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use actix_web::{
    App,
    HttpResponse,
    HttpServer,
    dev::ServerHandle,
    web, //
};
use bamboolock::{
    ids::{
        Millis,
        Offset, //
    },
    wire::log, //
};

/// Injected fault of appends and reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// Appends and reads fail without effect.
    Down,
    /// Appends take effect, but their responses report a failure.
    LoseResponses,
    /// Appends take effect, but are never answered.
    Hang,
    /// Appends and reads have no effect and are never answered.
    Stall,
}

/// Content and settings of the log.
#[derive(Debug)]
pub(crate) struct Content {
    pub(crate) first: u64,
    pub(crate) entries: Vec<log::Entry>,
    pub(crate) fault: Fault,
    pub(crate) appends: u64,
    /// Maximum size of an entry, in bytes.
    pub(crate) max_entry: usize,
    /// Response of the platform's instance list.
    pub(crate) instances: serde_json::Value,
    /// Offset in the instance status that the log's own address serves.
    pub(crate) status: u64,
}

impl Content {
    pub(crate) fn append(&mut self, payload: &str) -> Offset {
        let offset = Offset(self.entries.len() as u64);
        self.entries.push(log::Entry {
            offset,
            at: Millis(1_000 + offset.0),
            payload: payload.to_owned(),
        });
        offset
    }

    fn page(&self, from: u64, max: u32) -> log::Page {
        let from = usize::try_from(from.max(self.first)).unwrap();
        let kept = self.entries.iter().skip(from);
        log::Page {
            first: Offset(self.first),
            next: Offset(self.entries.len() as u64),
            entries: kept.take(max as usize).cloned().collect(),
        }
    }
}

type Shared = Arc<Mutex<Content>>;

/// Handle to a running log service; the service stops when the handle is dropped.
pub(crate) struct FakeLog {
    pub(crate) addr: SocketAddr,
    pub(crate) content: Shared,
    server: ServerHandle,
}

impl Drop for FakeLog {
    fn drop(&mut self) {
        drop(self.server.stop(false));
    }
}

impl FakeLog {
    pub(crate) fn start() -> Self {
        let content = Arc::new(Mutex::new(Content {
            first: 0,
            entries: Vec::new(),
            fault: Fault::None,
            appends: 0,
            max_entry: 1 << 20,
            instances: serde_json::Value::Null,
            status: 0,
        }));
        let data = web::Data::new(content.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .app_data(web::JsonConfig::default().limit(1 << 26))
                .route("/v1/log/append", web::post().to(append))
                .route("/v1/log/read", web::get().to(read))
                .route("/v1/instances", web::get().to(instances))
                .route("/v1/status", web::get().to(status))
        });
        let server = server.workers(1).disable_signals();
        let server = server.bind("127.0.0.1:0").unwrap();
        let addr = server.addrs()[0];
        let running = server.run();
        let handle = running.handle();
        actix::spawn(running);
        Self {
            addr,
            content,
            server: handle,
        }
    }

    pub(crate) fn fault(&self, fault: Fault) {
        self.content.lock().unwrap().fault = fault;
    }
}

async fn append(log: web::Data<Shared>, body: web::Json<log::Append>) -> HttpResponse {
    stall(&log).await;
    let (fault, offset) = {
        let mut content = log.lock().unwrap();
        content.appends += 1;
        if body.payload.len() > content.max_entry {
            return HttpResponse::PayloadTooLarge().finish();
        }
        if content.fault == Fault::Down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        (content.fault, content.append(&body.payload))
    };
    match fault {
        Fault::LoseResponses => HttpResponse::InternalServerError().finish(),
        Fault::Hang => std::future::pending().await,
        _ => HttpResponse::Ok().json(log::Appended { offset }),
    }
}

async fn stall(log: &Shared) {
    let stalled = log.lock().unwrap().fault == Fault::Stall;
    if stalled {
        std::future::pending().await
    }
}

async fn read(log: web::Data<Shared>, query: web::Query<log::Read>) -> HttpResponse {
    stall(&log).await;
    let end = tokio::time::Instant::now() + Duration::from_millis(query.wait);
    loop {
        let page = {
            let content = log.lock().unwrap();
            if content.fault == Fault::Down {
                return HttpResponse::ServiceUnavailable().finish();
            }
            content.page(query.from.0, query.max)
        };
        if !page.entries.is_empty() || tokio::time::Instant::now() >= end {
            return HttpResponse::Ok().json(page);
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

async fn instances(log: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(&log.lock().unwrap().instances)
}

async fn status(log: web::Data<Shared>) -> HttpResponse {
    let next = log.lock().unwrap().status;
    HttpResponse::Ok().json(serde_json::json!({"id": "i1", "next": next, "ready": true}))
}
