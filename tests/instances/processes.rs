//! Starts and stops processes of `bamboolock-cell`, and sends requests to them.

use std::{
    fs,
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU32,
            Ordering, //
        },
    },
    time::Duration, //
};

use serde_json::{
    Value,
    json, //
};

/// Timeout of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(4);

/// An instance of `bamboolock-cell`.
pub(super) struct Instance {
    pub(super) name: String,
    pub(super) front: SocketAddr,
    pub(super) ready: SocketAddr,
    pub(super) peer: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// First port of the range for listeners. The range lies below the ephemeral ports: an outgoing
/// connection could take one of those between the choice of the port and the start of the process.
const FIRST_PORT: u32 = 10_000;

/// Number of ports in the range for listeners.
const PORTS: u32 = 20_000;

/// Distance between the first ports of two test processes with consecutive process ids.
const STRIDE: u32 = 331;

/// Held while a port is probed and while a process starts: until it has replaced its program, a new
/// process shares the probe's listener, and the port is not free.
static PROBE: Mutex<()> = Mutex::new(());

fn probe_lock() -> MutexGuard<'static, ()> {
    PROBE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns an address with a free port.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let _probe = probe_lock();
        let n = std::process::id() * STRIDE + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = (FIRST_PORT + n % PORTS) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}

/// Returns the program under test: `BAMBOOLOCK_CELL`, to play a test on another build, or that of
/// this one.
fn program() -> PathBuf {
    let other = std::env::var_os("BAMBOOLOCK_CELL");
    other.map_or_else(
        || env!("CARGO_BIN_EXE_bamboolock-cell").into(),
        PathBuf::from,
    )
}

impl Instance {
    /// Writes the settings file of an instance that serves callers at `front`, without starting the
    /// process.
    pub(super) fn prepare(name: &str, platform: SocketAddr, front: SocketAddr) -> Self {
        Self::prepare_with_link(name, platform, front, 0.0)
    }

    /// Starts an instance whose link has a bandwidth of `mbps` megabits per second.
    pub(super) fn start_with_link(name: &str, platform: SocketAddr, mbps: f64) -> Self {
        let mut instance = Self::prepare_with_link(name, platform, free_port(), mbps);
        instance.launch();
        instance
    }

    /// Starts an instance with further parts of the rules in force, and their bounds.
    pub(super) fn start_with_rules(
        name: &str,
        platform: SocketAddr,
        contracts: &[&str],
        bounds: &Value,
    ) -> Self {
        let mut instance = Self::prepare(name, platform, free_port());
        let text = fs::read_to_string(&instance.settings).unwrap();
        let mut boot: Value = serde_json::from_str(&text).unwrap();
        boot["contracts"] = json!(contracts);
        for (name, bound) in bounds.as_object().unwrap() {
            boot["bounds"][name] = bound.clone();
        }
        fs::write(&instance.settings, boot.to_string()).unwrap();
        instance.launch();
        instance
    }

    /// Starts an instance whose machine has the given limits, in addition to the usual ones.
    pub(super) fn start_with_limits(name: &str, platform: SocketAddr, limits: &Value) -> Self {
        let mut instance = Self::prepare(name, platform, free_port());
        let text = fs::read_to_string(&instance.settings).unwrap();
        let mut boot: Value = serde_json::from_str(&text).unwrap();
        for (name, limit) in limits.as_object().unwrap() {
            boot["limits"][name] = limit.clone();
        }
        fs::write(&instance.settings, boot.to_string()).unwrap();
        instance.launch();
        instance
    }

    /// Returns the process id.
    pub(super) fn pid(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    fn prepare_with_link(name: &str, platform: SocketAddr, front: SocketAddr, mbps: f64) -> Self {
        let (ready, peer) = (free_port(), free_port());
        let boot = json!({
            "node_name": name, "role": "cell", "ip": "127.0.0.1", "zone": "a",
            "listen_addrs": {"front": front.to_string(), "ready": ready.to_string()},
            "internal_ports": [peer.port()], "limits": {"cpu_share": 0.25, "cpu_cores": 1, "link_mbps": mbps}, "advice": null,
            "bounds": {"grace_s": 6, "hold_max_ms": 6000, "stop_timeout_ms": 200, "gang_timeout_ms": 3000, "status_s": 120},
            "platform": {"address": platform.to_string(), "call_bytes": 2_097_152},
        });
        let settings =
            std::env::temp_dir().join(format!("bamboolock-{}-{name}.json", std::process::id()));
        fs::write(&settings, boot.to_string()).unwrap();
        Self {
            name: name.to_owned(),
            front,
            ready,
            peer,
            settings,
            child: None,
        }
    }

    /// Runs the process to its end; returns its exit status and its output.
    pub(super) fn run(&self) -> (Option<i32>, String) {
        let output = Command::new(program())
            .env("BAMBOOLOCK_BOOT", &self.settings)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        (output.status.code(), text)
    }

    /// Starts the process, or restarts it after a kill.
    pub(super) fn launch(&mut self) {
        let log = self.settings.with_extension("log");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let _probe = probe_lock();
        let child = Command::new(program())
            .env("BAMBOOLOCK_BOOT", &self.settings)
            .stdout(Stdio::from(log))
            .spawn();
        self.child = Some(child.unwrap());
    }

    pub(super) fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends a signal, given by its name, to the process.
    pub(super) fn signal(&self, name: &str) {
        let pid = self.child.as_ref().unwrap().id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(sent.unwrap().success());
    }

    /// Whether the process has exited.
    pub(super) fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut().unwrap();
        child.try_wait().unwrap().is_some()
    }

    /// Returns the lines that the process has logged so far.
    pub(super) fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap()
    }

    /// Returns the value of a metric, by its name and labels.
    pub(super) fn metric(&self, name: &str) -> Option<u64> {
        let (_, page) = exchange(self.peer, "GET", "/metrics", "")?;
        let line = page
            .lines()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix(' '))?;
        line.parse().ok()
    }

    pub(super) fn is_ready(&self) -> bool {
        exchange(self.ready, "GET", "/bamboolock/ready", "")
            .is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_file(&self.settings);
        if !std::thread::panicking() {
            let _ = fs::remove_file(self.settings.with_extension("log"));
        }
    }
}

/// Sends one request; returns status and body, or `None` without a complete response.
pub(super) fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    exchange_with(to, (method, path), "", body)
}

/// Sends one request without a body, with an API key if there is one.
pub(super) fn exchange_with_key(
    to: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
) -> Option<(u16, String)> {
    let header = key.map(|key| format!("authorization: Bearer {key}\r\n"));
    exchange_with(to, (method, path), &header.unwrap_or_default(), "")
}

/// Sends one request with further header lines.
fn exchange_with(
    to: SocketAddr,
    (method, path): (&str, &str),
    headers: &str,
    body: &str,
) -> Option<(u16, String)> {
    let answer = request(to, (method, path), headers, body)?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let body = answer.split_once("\r\n\r\n")?.1.to_owned();
    Some((status, body))
}

/// Submits a job with an API key; returns the status and the seconds after which to come back.
pub(super) fn post_with_key(
    to: SocketAddr,
    path: &str,
    key: &str,
    body: &str,
) -> Option<(u16, Option<u64>)> {
    let header = format!("authorization: Bearer {key}\r\n");
    let answer = request(to, ("POST", path), &header, body)?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let mut lines = answer.lines();
    let retry = lines.find_map(|line| line.strip_prefix("retry-after: "));
    Some((
        status,
        retry.and_then(|seconds| seconds.trim().parse().ok()),
    ))
}

/// Sends one request and returns the whole response.
fn request(
    to: SocketAddr,
    (method, path): (&str, &str),
    headers: &str,
    body: &str,
) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&to, EXCHANGE_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(EXCHANGE_TIMEOUT)).ok()?;
    let len = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{headers}content-length: {len}\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}
