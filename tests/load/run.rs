//! End-to-end runs of the load generator against a fake entry instance and against the stand-in.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use actix_web::{
    App,
    HttpRequest,
    HttpResponse,
    HttpServer,
    dev::ServerHandle,
    rt,
    web, //
};
use bamboolock::{
    load::{
        balancer::Balancer,
        direct::Pool,
        judge, //
        report::Report,
        run::{
            self,
            Plan,
            Target, //
        },
        sample::{
            Class,
            Sample, //
        },
        schedule::Arrival,
    },
    standin::{
        self,
        Running,
        command::Command,
        settings::Settings, //
    },
    wire, //
};
use serde_json::{
    Value,
    json, //
};

const PATIENCE: Duration = Duration::from_secs(20);

/// Responds to a request as selected by its `work` field.
async fn fake(executions: web::Data<AtomicU64>, body: web::Json<Value>) -> HttpResponse {
    let number = executions.fetch_add(1, Ordering::Relaxed);
    let work = body["work"].as_str().unwrap();
    let request = format!("q{number}");
    match work {
        "swapped" => HttpResponse::Ok().json(json!({"request": request, "echo": {"work": "x"}})),
        "refused" => HttpResponse::ServiceUnavailable()
            .insert_header((wire::RAN_HEADER, "no"))
            .finish(),
        "once" => HttpResponse::Ok().json(json!({"request": "first", "echo": *body})),
        _ => HttpResponse::Ok().json(json!({"request": request, "echo": *body})),
    }
}

/// Accepts every job; its status is always `done`.
async fn accept() -> HttpResponse {
    HttpResponse::Accepted().json(json!({"id": "r1", "repeated": false}))
}

async fn status(req: HttpRequest) -> HttpResponse {
    let id = req.match_info().get("id").unwrap();
    HttpResponse::Ok().json(
        json!({"id": id, "profile": "plan", "version": 1, "zone": "north-a",
        "state": "done", "waiting": 0, "running": 0, "done": 1, "accepted": 0, "reason": ""}),
    )
}

async fn readiness(ready: web::Data<bool>) -> HttpResponse {
    match **ready {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Starts a fake entry instance that reports itself as ready.
fn serve() -> (SocketAddr, ServerHandle) {
    serve_ready(true)
}

fn serve_ready(ready: bool) -> (SocketAddr, ServerHandle) {
    let executions = web::Data::new(AtomicU64::new(0));
    let app = move || {
        App::new()
            .app_data(executions.clone())
            .route("/v1/requests/{profile}", web::post().to(fake))
            .app_data(web::Data::new(ready))
            .route("/readyz", web::get().to(readiness))
            .route("/v1/jobs", web::post().to(accept))
            .route("/v1/jobs/{id}", web::get().to(status))
    };
    let server = HttpServer::new(app).workers(1).disable_signals();
    let server = server.bind("127.0.0.1:0").unwrap();
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    rt::spawn(server);
    (address, handle)
}

/// Returns an address on which nothing listens: a reserved port.
fn closed() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn arrival(work: &str, key: Option<&str>) -> Arrival {
    Arrival {
        at: 0,
        profile: "check".parse().unwrap(),
        work: work.into(),
        time: 1,
        deadline: None,
        key: key.map(|k| k.parse().unwrap()),
        padding: 10,
        crest: false,
        job: None,
    }
}

async fn send(target: Target, arrivals: Vec<Arrival>) -> (Rc<Vec<Arrival>>, Vec<Sample>) {
    let arrivals = Rc::new(arrivals);
    let plan = Plan {
        target,
        timeout: PATIENCE,
    };
    let samples = run::run(plan, &arrivals, std::future::pending()).await;
    (arrivals, samples)
}

#[actix_web::test]
async fn every_response_is_checked() {
    let (address, handle) = serve();
    let late = Arrival {
        deadline: Some(0),
        ..arrival("late", None)
    };
    let plan = serde_json::from_value(json!({"at": 0, "profile": "plan", "work": "job", "time": 1,
        "job": {"tasks": 1}}));
    let cases = [
        (arrival("own", None), Class::Good),
        (arrival("swapped", None), Class::Wrong),
        (arrival("refused", None), Class::Refused),
        (late, Class::Late),
        (arrival("once", Some("k1")), Class::Good),
        (arrival("once", Some("k1")), Class::Good),
        (plan.unwrap(), Class::Good),
    ];
    let (arrivals, expected): (Vec<_>, Vec<_>) = cases.into_iter().unzip();
    let balancer = Balancer::new(vec![address]);
    let (arrivals, samples) = send(Target::Entries(balancer), arrivals).await;
    for (sample, class) in samples.iter().zip(expected) {
        assert_eq!(sample.class, class, "{}", arrivals[sample.index].work);
    }
    assert!(samples[6].wait.is_some());
    handle.stop(false).await;
}

#[actix_web::test]
async fn latency_counts_from_the_intended_time() {
    let (address, handle) = serve();
    let later = Arrival {
        at: 10_000,
        ..arrival("w1", None)
    };
    let arrivals = Rc::new(vec![arrival("w0", None), later]);
    let plan = Plan {
        target: Target::Entries(Balancer::new(vec![address])),
        timeout: PATIENCE,
    };
    let stall = async {
        std::thread::sleep(Duration::from_millis(100));
        std::future::pending().await
    };
    let samples = run::run(plan, &arrivals, stall).await;
    assert!(samples[1].lag >= 50_000, "{}", samples[1].lag);
    assert!(samples[1].latency >= samples[1].lag);
    handle.stop(false).await;
}

#[actix_web::test]
async fn a_second_execution_of_a_key_is_detected() {
    let (address, handle) = serve();
    let repeats = vec![arrival("twice", Some("k1")), arrival("twice", Some("k1"))];
    let balancer = Balancer::new(vec![address]);
    let (arrivals, samples) = send(Target::Entries(balancer), repeats).await;
    let mut classes: Vec<_> = samples.iter().map(|s| s.class).collect();
    classes.sort();
    assert_eq!(classes, [Class::Good, Class::Doubled]);
    assert!(!Report::new(&arrivals, &samples, None).passed());
    handle.stop(false).await;
}

#[actix_web::test]
async fn an_instance_that_refuses_connections_is_skipped() {
    let (address, handle) = serve();
    let balancer = Balancer::new(vec![closed(), address]);
    let many = (0..20).map(|i| arrival(&format!("w{i}"), None)).collect();
    let (_, samples) = send(Target::Entries(balancer), many).await;
    assert!(samples.iter().all(|s| s.class == Class::Good));
    handle.stop(false).await;
}

#[actix_web::test]
async fn an_instance_that_is_not_ready_gets_no_work() {
    let (leaving, first) = serve_ready(false);
    let (ready, second) = serve();
    let balancer = Balancer::new(vec![leaving, ready]);
    let client = run::client();
    let avoided = async {
        while (0..6).any(|_| balancer.next() != Some(ready)) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let watched = async {
        tokio::select! {
            () = avoided => {}
            () = balancer.watch_readiness(&client) => {}
        }
    };
    let seen = tokio::time::timeout(PATIENCE, watched).await;
    assert!(seen.is_ok(), "work goes to an instance that is not ready");
    first.stop(false).await;
    second.stop(false).await;
}

#[actix_web::test]
async fn work_is_refused_when_no_instance_accepts_connections() {
    let balancer = Balancer::new(vec![closed(), closed()]);
    let (_, samples) = send(Target::Entries(balancer), vec![arrival("w", None)]).await;
    assert_eq!(samples[0].class, Class::Refused);
}

async fn stand_in() -> Running {
    let settings = Settings {
        listen: "127.0.0.1:0".parse().unwrap(),
        workers: "127.0.0.1:0".parse().unwrap(),
        groups: Settings::default().groups[..1].to_vec(),
        threads: 1,
        ..Settings::default()
    };
    standin::start(&settings).await.unwrap()
}

#[actix_web::test]
async fn direct_work_stays_within_the_slots() {
    let running = stand_in().await;
    let client = run::client();
    let pool = Pool::lease_all(&client, running.platform).await.unwrap();
    let many = (0..300).map(|i| arrival(&format!("w{i}"), None)).collect();
    let (arrivals, samples) = send(Target::Direct(pool), many).await;
    assert!(samples.iter().all(|s| s.class == Class::Good));
    let refused = vec!["w7".into(), "never sent".into()];
    let verdict = judge::request_verdict(&client, running.platform, refused)
        .await
        .unwrap();
    assert_eq!(verdict.counters.requests, 300);
    assert_eq!(verdict.counters.violations, 1, "{:?}", verdict.violations);
    assert!(verdict.violations[0].detail.contains("w7"));
    assert!(judge::refused_work(&arrivals, &samples).is_empty());
    running.stop().await;
}

async fn command(running: &Running, command: &Command) {
    let url = format!("http://{}/control", running.platform);
    let answer = run::client().post(url).send_json(command).await;
    assert!(answer.unwrap().status().is_success());
}

#[actix_web::test]
async fn a_truncated_response_has_an_unknown_outcome() {
    let running = stand_in().await;
    let pool = Pool::lease_all(&run::client(), running.platform)
        .await
        .unwrap();
    let target = Default::default();
    command(&running, &Command::CutAnswers { target, on: true }).await;
    let (_, samples) = send(Target::Direct(pool), vec![arrival("w", None)]).await;
    assert_eq!(samples[0].class, Class::Unknown);
    assert_eq!(running.verdict().counters.cut, 1);
    running.stop().await;
}

#[actix_web::test]
async fn a_connection_closed_after_the_send_leaves_the_outcome_unknown() {
    let running = stand_in().await;
    let pool = Pool::lease_all(&run::client(), running.platform)
        .await
        .unwrap();
    let long = Arrival {
        time: 600_000,
        ..arrival("w", None)
    };
    let crash = async {
        while running.verdict().counters.requests == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let target = Default::default();
        command(&running, &Command::Crash { target }).await;
    };
    let sending = send(Target::Direct(pool), vec![long]);
    let ((_, samples), ()) = futures_util::join!(sending, crash);
    assert_eq!(samples[0].class, Class::Unknown);
    running.stop().await;
}
