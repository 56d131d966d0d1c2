//! Stand-in on free ports, and a client for it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use awc::error::SendRequestError;
use bamboolock::{
    ids::Token,
    resources::Resources,
    standin::{
        self,
        Running,
        command::Command,
        judge::Verdict,
        settings::{
            Group,
            Settings, //
        }, //
    },
    wire::{
        self,
        log::{
            Append,
            Appended,
            Page, //
        },
        worker::{
            Launch,
            LeaseRequest,
            LeaseResponse,
            Report,
            Start,
            StartResponse,
            Started,
            TaskId, //
        }, //
    }, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use serde_json::Value;

/// Timeout of an exchange, longer than any that should succeed.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Time to wait before concluding that no answer comes.
pub(crate) const NO_ANSWER_WAIT: Duration = Duration::from_millis(150);

/// Answer of a backend server.
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Value of the header that says whether the request ran; empty if the header is absent.
    pub(crate) ran: String,
    /// Whether all announced bytes of the body arrived.
    pub(crate) whole: bool,
    pub(crate) body: Value,
}

/// Client of a running stand-in.
pub(crate) struct Client {
    pub(crate) running: Running,
}

/// Returns settings with two availability zones in one region and one in another, with two workers
/// each.
pub(crate) fn settings() -> Settings {
    let zones = [
        ("north", "north-a"),
        ("north", "north-b"),
        ("south", "south-a"),
    ];
    let group = |(region, zone): &(&str, &str)| Group {
        region: region.parse().unwrap(),
        zone: zone.parse().unwrap(),
        rack: "rack".into(),
        count: 2,
        size: 8,
        capacity: Resources::from_parts([4_000, 8_192, 1, 4, 16]),
    };
    Settings {
        listen: "127.0.0.1:0".parse().unwrap(),
        workers: "127.0.0.1:0".parse().unwrap(),
        threads: 1,
        groups: zones.iter().map(group).collect(),
        ..Settings::default()
    }
}

impl Client {
    pub(crate) async fn start(settings: &Settings) -> Self {
        let running = standin::start(settings).await.unwrap();
        Self { running }
    }

    pub(crate) async fn stop(self) {
        self.running.stop().await;
    }

    pub(crate) fn worker(&self, index: usize) -> SocketAddr {
        self.running.workers[index].1
    }

    pub(crate) fn verdict(&self) -> Verdict {
        self.running.verdict()
    }

    pub(crate) async fn command(&self, command: &Command) -> u16 {
        let (status, _) = self
            .post::<_, Value>(self.running.platform, "/control", command)
            .await;
        status
    }

    /// Sends a POST request on a new connection. An answer that is not JSON gives `None`.
    pub(crate) async fn post<T: Serialize, A: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &T,
    ) -> (u16, Option<A>) {
        let request = new_client().post(format!("http://{to}{path}"));
        let mut answer = request.send_json(body).await.unwrap();
        let status = answer.status().as_u16();
        (status, answer.json().await.ok())
    }

    pub(crate) async fn get<A: DeserializeOwned>(&self, path: &str) -> (u16, Option<A>) {
        let request = new_client().get(format!("http://{}{path}", self.running.platform));
        let mut answer = request.send().await.unwrap();
        let status = answer.status().as_u16();
        (status, answer.json().await.ok())
    }

    pub(crate) async fn append(&self, payload: &str) -> (u16, Option<Appended>) {
        let body = Append {
            payload: payload.to_owned(),
        };
        self.post(self.running.platform, "/v1/log/append", &body)
            .await
    }

    pub(crate) async fn read(&self, from: u64, max: u32, wait: u64) -> Page {
        let path = format!("/v1/log/read?from={from}&max={max}&wait={wait}");
        self.get(&path).await.1.unwrap()
    }

    pub(crate) async fn lease(&self, worker: usize, lease: &LeaseRequest) -> LeaseResponse {
        self.post(self.worker(worker), "/v1/lease", lease)
            .await
            .1
            .unwrap()
    }

    /// Takes or renews a lease. Panics unless it is granted.
    pub(crate) async fn granted(&self, worker: usize, lease: &LeaseRequest) -> Report {
        match self.lease(worker, lease).await {
            LeaseResponse::Granted(report) => report,
            other => panic!("not granted: {other:?}"),
        }
    }

    pub(crate) async fn launch(&self, worker: usize, token: Token, launch: Launch) -> Started {
        let body = Start {
            token,
            tasks: vec![launch],
        };
        let path = "/v1/tasks/start";
        let answer: StartResponse = self.post(self.worker(worker), path, &body).await.1.unwrap();
        answer.results[0]
    }

    /// Sends a request to a backend server on a new connection.
    pub(crate) async fn serve(
        &self,
        worker: usize,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Answer {
        let answer = self.send(&new_client(), worker, headers, body).await;
        answer.unwrap()
    }

    pub(crate) async fn send(
        &self,
        client: &awc::Client,
        worker: usize,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Answer, SendRequestError> {
        let url = format!("http://{}/v1/serve/check", self.worker(worker));
        let mut request = client.post(url);
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let mut answer = request.send_json(body).await?;
        let ran = answer.headers().get(wire::RAN_HEADER);
        let ran = ran.map_or("", |r| r.to_str().unwrap()).to_owned();
        let announced = answer.headers().get("content-length");
        let announced = announced.map(|l| l.to_str().unwrap().parse().unwrap());
        // awc reports no error for a body that ends early, so the length is compared.
        let body = answer.body().await.unwrap_or_default();
        Ok(Answer {
            status: answer.status().as_u16(),
            ran,
            whole: announced == Some(body.len()),
            body: serde_json::from_slice(&body).unwrap_or_default(),
        })
    }
}

/// Creates a client without open connections.
pub(crate) fn new_client() -> awc::Client {
    awc::Client::builder().timeout(TIMEOUT).finish()
}

pub(crate) fn lease(
    holder: &str,
    incarnation: u64,
    token: Option<Token>,
    ttl: u64,
) -> LeaseRequest {
    LeaseRequest {
        holder: holder.parse().unwrap(),
        incarnation: bamboolock::ids::Incarnation(incarnation),
        token,
        ttl,
        task_ttl: 60_000,
    }
}

pub(crate) fn task(run: &str, attempt: u32, payload: Value) -> Launch {
    Launch {
        id: TaskId {
            run: run.parse().unwrap(),
            index: 0,
            attempt,
        },
        demand: Resources::from_parts([1_000, 1_024, 0, 1, 0]),
        ttl: 60_000,
        resume: 0,
        payload,
    }
}
