//! A worker as a process of its own, so that a signal can crash it. It writes what happens to it to
//! standard output, one line an event.
//!
//! The specification of a job says what its tasks do: `done=MS` and `fail=MS` end that way after so
//! many milliseconds, `last` runs until it is stopped.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response},
    json::{Json, quote},
};

/// Interval at which ends and leases are checked.
const STEP: Duration = Duration::from_millis(5);

/// Most ends in one response.
const PAGE: usize = 500;

struct Running {
    task: String,
    run: u64,
    /// Outcome and the time at which the run ends, on the worker's clock.
    fate: Option<(&'static str, u64)>,
    /// Time at which a stop takes effect.
    stopped: Option<u64>,
}

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease: u64,
    running: Vec<Running>,
    ended: Vec<Ended>,
    numbers: u64,
    /// Highest run of each task that was stopped or has ended here.
    over: BTreeMap<String, u64>,
}

pub struct Settings {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    pub heartbeat_ms: u64,
    pub stop_ms: u64,
    pub hold_max_ms: u64,
}

struct Worker {
    settings: Settings,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    // The process that started this one reads the lines; without it there is nothing to do.
    if writeln!(out, "{line}").and_then(|()| out.flush()).is_err() {
        std::process::exit(0);
    }
}

impl Worker {
    /// The worker's clock, in milliseconds; it begins anew in each life.
    fn clock(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn end(&self, state: &mut State, at: usize, how: &'static str) {
        let run = state.running.remove(at);
        state.numbers += 1;
        let over = state.over.entry(run.task.clone()).or_default();
        *over = (*over).max(run.run);
        say(&format!(
            "end {} {} {} {how}",
            state.numbers, run.task, run.run
        ));
        state.ended.push(Ended {
            number: state.numbers,
            task: run.task,
            run: run.run,
            how,
        });
        self.changed.notify_all();
    }

    fn advance(&self) {
        let now = self.clock();
        let mut state = self.lock();
        let lapsed = now > state.lease;
        let mut at = 0;
        while at < state.running.len() {
            let run = &state.running[at];
            let how = match (run.stopped, run.fate) {
                _ if lapsed => Some("lapsed"),
                (Some(end), _) if end <= now => Some("stopped"),
                (None, Some((how, end))) if end <= now => Some(how),
                _ => None,
            };
            match how {
                Some(how) => self.end(&mut state, at, how),
                None => at += 1,
            }
        }
    }

    fn renew(&self, state: &mut State, expires: Option<u64>) {
        if let Some(expires) = expires {
            let most = self.clock() + self.settings.hold_max_ms;
            state.lease = state.lease.max(expires.min(most));
        }
    }

    fn refuse(&self, reason: &str) -> Response {
        Response::json(
            409,
            format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock()),
        )
    }

    fn accept(&self) -> Response {
        Response::json(200, format!("{{\"clock_ms\":{}}}", self.clock()))
    }

    fn start(&self, body: &Json) -> Option<Response> {
        let (task, run) = (
            body.get("task").text()?.to_owned(),
            body.get("run_id").number()?,
        );
        let (token, expires) = (
            body.get("fencing_token").number().unwrap_or(0),
            body.get("expires_ms").number()?,
        );
        let mut state = self.lock();
        let now = self.clock();
        if token < state.fence {
            return Some(self.refuse("fence"));
        }
        state.fence = token;
        if expires <= now {
            return Some(self.refuse("late"));
        }
        self.renew(&mut state, Some(expires));
        if state.running.iter().any(|r| r.task == task && r.run == run) {
            return Some(self.accept());
        }
        if state.over.get(&task).is_some_and(|over| run <= *over) {
            return Some(self.refuse("old"));
        }
        let spec = body.get("spec").text().unwrap_or_default();
        let fate = match spec.split_once('=') {
            Some(("done", ms)) => ms.parse().ok().map(|ms: u64| ("done", now + ms)),
            Some(("fail", ms)) => ms.parse().ok().map(|ms: u64| ("failed", now + ms)),
            _ => None,
        };
        say(&format!("start {task} {run} {token}"));
        state.running.push(Running {
            task,
            run,
            fate,
            stopped: None,
        });
        Some(self.accept())
    }

    fn stop(&self, body: &Json) -> Option<Response> {
        let (task, run) = (
            body.get("task").text()?.to_owned(),
            body.get("run_id").number()?,
        );
        let token = body.get("fencing_token").number().unwrap_or(0);
        let mut state = self.lock();
        if token < state.fence {
            return Some(self.refuse("fence"));
        }
        state.fence = token;
        let end = self.clock() + self.settings.stop_ms / 2;
        let over = state.over.entry(task.clone()).or_default();
        *over = (*over).max(run);
        for running in state
            .running
            .iter_mut()
            .filter(|r| r.task == task && r.run <= run)
        {
            running.stopped.get_or_insert(end);
        }
        Some(self.accept())
    }

    fn hold(&self, body: &Json) -> Option<Response> {
        let token = body.get("fencing_token").number().unwrap_or(0);
        let until = Instant::now()
            + Duration::from_millis(body.get("wait_ms").number().unwrap_or(0).min(2_000));
        let mut state = self.lock();
        if token < state.fence {
            return Some(self.refuse("fence"));
        }
        state.fence = token;
        let seen = body.get("last_seen").number().unwrap_or(0);
        if state.ended.iter().any(|e| e.number <= seen) {
            say(&format!("seen {seen}"));
            state.ended.retain(|e| e.number > seen);
        }
        self.renew(&mut state, body.get("expires_ms").number());
        while state.ended.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(|e| e.into_inner())
                .0;
        }
        let running = state
            .running
            .iter()
            .map(|r| format!("[{},{},\"\",100,0]", quote(&r.task), r.run));
        let running: Vec<String> = running.collect();
        let ended = state.ended.iter().take(PAGE);
        let ended = ended.map(|e| {
            format!(
                "[{},{},{},\"{}\",\"\"]",
                e.number,
                quote(&e.task),
                e.run,
                e.how
            )
        });
        let ended: Vec<String> = ended.collect();
        Some(Response::json(
            200,
            format!(
                "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
                self.clock(),
                self.settings.born,
                running.join(","),
                ended.join(",")
            ),
        ))
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        if request
            .headers
            .get("x-expect-instance")
            .is_some_and(|id| *id != self.settings.id)
        {
            return Some(Response::json(421, "{}".to_owned()));
        }
        let Some(body) = Json::parse(&request.body) else {
            return Some(Response::json(400, "{}".to_owned()));
        };
        let response = match request.path.as_str() {
            "/bamboolock/run-start" => self.start(&body),
            "/bamboolock/run-stop" => self.stop(&body),
            "/bamboolock/hold" => self.hold(&body),
            _ => return Some(Response::json(404, "{}".to_owned())),
        };
        Some(response.unwrap_or_else(|| Response::json(400, "{}".to_owned())))
    }
}

/// Runs a worker until the process is killed.
pub fn run(settings: Settings) {
    let listener = TcpListener::bind(settings.address).expect("the address of the worker is free");
    let heartbeat = Duration::from_millis(settings.heartbeat_ms);
    let worker = Arc::new(Worker {
        settings,
        started: Instant::now(),
        state: Mutex::default(),
        changed: Condvar::new(),
    });
    let ticking = worker.clone();
    std::thread::spawn(move || {
        loop {
            ticking.advance();
            std::thread::sleep(STEP);
        }
    });
    std::thread::spawn(move || {
        loop {
            say("beat");
            std::thread::sleep(heartbeat);
        }
    });
    http::serve(listener, Arc::new(move |request| worker.handle(&request)));
}
