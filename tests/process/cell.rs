//! Test cell: a stand-in inside the test process and entry instances as separate processes.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf,
    process::{
        Child,
        Command as Process,
        Stdio, //
    },
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    time::Duration, //
};

use bamboolock::{
    resources::Resources,
    standin::{
        self,
        Running,
        command::Command,
        judge::Verdict,
        settings::{
            Entry,
            Group,
            Service,
            Settings, //
        }, //
    },
    wire::{
        caller::Status,
        log::Append, //
    }, //
};
use serde_json::{
    Value,
    json, //
};
use tokio::time::{
    Instant,
    sleep, //
};

/// Time limit for every condition; longer than any of them takes on a busy machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(40);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An availability zone of the test cell.
pub(crate) struct Zone {
    pub(crate) name: &'static str,
    pub(crate) region: &'static str,
    pub(crate) entries: usize,
    pub(crate) workers: u32,
}

/// One zone with two instances and four workers.
pub(crate) const ONE_ZONE: &[Zone] = &[Zone {
    name: "north-a",
    region: "north",
    entries: 2,
    workers: 4,
}];

/// Two zones in different regions, each with two instances and three workers.
pub(crate) const TWO_ZONES: &[Zone] = &[
    Zone {
        name: "north-a",
        region: "north",
        entries: 2,
        workers: 3,
    },
    Zone {
        name: "south-a",
        region: "south",
        entries: 2,
        workers: 3,
    },
];

/// An entry instance.
pub(crate) struct Instance {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// A running cell. All processes are killed on drop.
pub(crate) struct Cell {
    pub(crate) standin: Running,
    pub(crate) instances: Vec<Instance>,
    directory: PathBuf,
}

/// Returns a loopback address that no other test uses.
fn unique_host() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let [_, a, b, _] = (process << 8).to_be_bytes();
    Ipv4Addr::new(127, a.max(1), b, u8::try_from(next).unwrap())
}

impl Cell {
    pub(crate) async fn start(zones: &[Zone]) -> Self {
        Self::start_with(zones, |_| {}, json!({})).await
    }

    /// Starts a cell. `adjust` changes the settings of the stand-in; `overrides` adds to the
    /// settings of the instances.
    pub(crate) async fn start_with(
        zones: &[Zone],
        adjust: impl FnOnce(&mut Settings),
        overrides: Value,
    ) -> Self {
        let host = unique_host();
        let mut settings = standin_settings(host, zones);
        adjust(&mut settings);
        let standin = standin::start(&settings).await.unwrap();
        let directory = std::env::temp_dir().join(format!("bamboolock-{host}"));
        std::fs::create_dir_all(&directory).unwrap();
        let instances = settings.entries.iter();
        let instances =
            instances.map(|e| Instance::new(e, standin.platform, &directory, &overrides));
        let mut cell = Self {
            instances: instances.collect(),
            standin,
            directory,
        };
        for index in 0..cell.instances.len() {
            cell.spawn(index);
        }
        cell.publish_examples().await;
        cell.wait_until_ready().await;
        cell
    }

    /// Starts the process of an instance.
    pub(crate) fn spawn(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let log = self.directory.join(format!("{}.log", instance.id));
        let log = std::fs::File::options().create(true).append(true).open(log);
        let child = Process::new(env!("CARGO_BIN_EXE_bamboolock-entry"))
            .arg("--settings")
            .arg(&instance.settings)
            .stderr(log.unwrap())
            .stdout(Stdio::null())
            .spawn();
        instance.child = Some(child.unwrap());
    }

    /// Sends a signal to the process of an instance. The name is that of the shell's `kill`.
    pub(crate) fn signal(&self, index: usize, name: &str) {
        let child = self.instances[index].child.as_ref().unwrap();
        let script = format!("kill -{name} {}", child.id());
        let status = Process::new("sh").arg("-c").arg(script).status();
        assert!(status.unwrap().success());
    }

    /// Kills the process of an instance.
    pub(crate) fn kill(&mut self, index: usize) {
        let mut child = self.instances[index].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Waits until the process of an instance exits without being killed; returns the exit status.
    pub(crate) async fn wait_for_exit(&mut self, index: usize) -> i32 {
        let mut child = self.instances[index].child.take().unwrap();
        let start = Instant::now();
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code().unwrap_or(-1);
            }
            assert!(start.elapsed() < TIMEOUT, "the process did not exit");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every worker is held and every running instance is ready and has read the log.
    pub(crate) async fn wait_until_ready(&self) {
        let workers = self.standin.workers.len();
        let running = self.instances.iter().filter(|i| i.child.is_some());
        let running = running.count();
        self.wait_until(
            "every worker is held and every instance is ready",
            async || {
                let statuses = self.statuses().await;
                let held: usize = statuses
                    .iter()
                    .map(|s| s["held"].as_array().map_or(0, Vec::len))
                    .sum();
                let ready = statuses
                    .iter()
                    .all(|s| s["ready"] == json!(true) && s["next"] != json!(0));
                held == workers && ready && statuses.len() == running
            },
        )
        .await;
    }

    /// Returns the statuses of all instances that respond.
    pub(crate) async fn statuses(&self) -> Vec<Value> {
        let mut statuses = Vec::new();
        for instance in &self.instances {
            if instance.child.is_none() {
                continue;
            }
            if let Some(state) = get(instance.address, "/v1/status").await {
                statuses.push(state);
            }
        }
        statuses
    }

    /// Returns the log offset up to which each instance has read.
    pub(crate) async fn next_offsets(&self) -> Vec<u64> {
        let statuses = self.statuses().await;
        statuses.iter().filter_map(|s| s["next"].as_u64()).collect()
    }

    /// Waits until a condition holds; panics after [`TIMEOUT`].
    pub(crate) async fn wait_until(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let start = Instant::now();
        while !holds().await {
            assert!(
                start.elapsed() < TIMEOUT,
                "condition not met in time: {what}"
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    pub(crate) async fn send_command(&self, command: &Command) {
        let url = format!("http://{}/control", self.standin.platform);
        let answer = client().post(url).send_json(command).await.unwrap();
        assert!(answer.status().is_success(), "{command:?}");
    }

    /// Appends a profile change to the log.
    pub(crate) async fn publish(&self, change: &str, name: &str, base: u32, body: &Value) {
        let record = json!({"type": "profile", "change": change, "name": name, "base": base,
            "body": body, "operator": "test"});
        let by = json!({"instance": "test", "incarnation": 1});
        let batch = json!({"format": 1, "id": change, "by": by, "records": [record]});
        self.append(&batch).await;
    }

    /// Appends an entry to the log.
    pub(crate) async fn append(&self, entry: &Value) {
        let append = Append {
            payload: entry.to_string(),
        };
        let url = format!("http://{}/v1/log/append", self.standin.platform);
        let answer = client().post(url).send_json(&append).await.unwrap();
        assert!(answer.status().is_success());
    }

    async fn publish_examples(&self) {
        let check = json!({"kind": "request", "team": "gates", "idempotent": true,
            "priority": 9, "objective": {"deadline": 4000, "wait": 1000}});
        let once = json!({"kind": "request", "team": "gates",
            "objective": {"deadline": 8000, "wait": 4000}});
        let run = json!({"kind": "run", "team": "plans",
            "demand": {"millicores": 500, "memory": 64, "slots": 1}});
        let gang = json!({"kind": "gang", "team": "plans",
            "demand": {"millicores": 500, "memory": 64, "slots": 1}});
        for (name, body) in [
            ("check", check),
            ("once", once),
            ("run", run),
            ("gang", gang),
        ] {
            self.publish(&format!("first-{name}"), name, 0, &body).await;
        }
    }

    /// Returns the metrics page of an instance.
    pub(crate) async fn metrics(&self, index: usize) -> String {
        let url = format!("http://{}/metrics", self.instances[index].address);
        let body = client().get(url).send().await.unwrap().body().await;
        String::from_utf8(body.unwrap().to_vec()).unwrap()
    }

    /// Submits a job through an instance and returns its id.
    pub(crate) async fn submit(&self, index: usize, job: &Value) -> String {
        let url = format!("http://{}/v1/jobs", self.instances[index].address);
        let mut answer = client().post(url).send_json(job).await.unwrap();
        let body: Value = answer.json().await.unwrap();
        assert_eq!(answer.status(), 202, "{body}");
        body["id"].as_str().unwrap().to_owned()
    }

    /// Returns the status of a job from the first instance that knows the job.
    pub(crate) async fn job_status(&self, id: &str) -> Option<Status> {
        for instance in self.instances.iter().filter(|i| i.child.is_some()) {
            if let Some(found) = get(instance.address, &format!("/v1/jobs/{id}")).await
                && let Ok(status) = serde_json::from_value(found)
            {
                return Some(status);
            }
        }
        None
    }

    /// Asserts that the judge found no violation, and returns the verdict.
    pub(crate) fn verdict(&self) -> Verdict {
        let verdict = self.standin.verdict();
        assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
        verdict
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            if let Some(mut child) = instance.child.take() {
                // The process may have exited already.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Instance {
    fn new(
        entry: &Entry,
        platform: SocketAddr,
        directory: &std::path::Path,
        overrides: &Value,
    ) -> Self {
        let admin = SocketAddr::new(entry.address.ip(), entry.address.port() + 2);
        let mut settings = json!({
            "id": entry.id, "zone": entry.zone, "region": entry.region,
            "listen": entry.address, "peer": entry.peer, "admin": admin,
            "platform": platform, "threads": 1,
        });
        for (name, value) in overrides.as_object().unwrap() {
            settings[name] = value.clone();
        }
        let path = directory.join(format!("{}.json", entry.id));
        std::fs::write(&path, settings.to_string()).unwrap();
        Self {
            id: entry.id.to_string(),
            address: entry.address,
            settings: path,
            child: None,
        }
    }
}

fn standin_settings(host: Ipv4Addr, zones: &[Zone]) -> Settings {
    let mut entries = Vec::new();
    for zone in zones {
        for number in 1..=zone.entries {
            let port = 10_000 + 10 * u16::try_from(entries.len()).unwrap();
            entries.push(Entry {
                id: format!("{}-entry-{number}", zone.name).parse().unwrap(),
                zone: zone.name.parse().unwrap(),
                region: zone.region.parse().unwrap(),
                rack: "rack1".parse().unwrap(),
                address: SocketAddr::from((host, port)),
                peer: SocketAddr::from((host, port + 1)),
            });
        }
    }
    let group = |zone: &Zone| Group {
        region: zone.region.parse().unwrap(),
        zone: zone.name.parse().unwrap(),
        rack: "rack".into(),
        count: zone.workers,
        size: 8,
        capacity: Resources::from_parts([16_000, 65_536, 0, 8, 64]),
    };
    Settings {
        listen: SocketAddr::from((host, 9_000)),
        workers: SocketAddr::from((host, 9_100)),
        threads: 1,
        groups: zones.iter().map(group).collect(),
        entries,
        service: Service {
            median: 5,
            spread: 0,
        },
        ..Settings::default()
    }
}

/// Returns a client that shares no connection with other clients.
pub(crate) fn client() -> awc::Client {
    awc::Client::builder()
        .timeout(Duration::from_secs(15))
        .finish()
}

/// Returns the JSON body of a successful response, if there is one.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Option<Value> {
    let request = client().get(format!("http://{address}{path}"));
    let asked = tokio::time::timeout(Duration::from_secs(2), request.send()).await;
    let mut answer = asked.ok()?.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    answer.json().await.ok()
}
