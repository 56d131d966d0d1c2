//! The processes, and callers that talk to them.

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
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    time::Duration, //
};

use serde_json::json;

/// Patience of a caller with one exchange.
const PATIENCE: Duration = Duration::from_secs(4);

/// One instance.
pub(super) struct Instance {
    pub(super) name: String,
    pub(super) front: SocketAddr,
    pub(super) ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// First port that is handed out; all are below those that the system gives to outgoing connections,
/// which would take a port between its choice and the start of the process.
const FIRST_PORT: u32 = 10_000;

/// Number of ports that are handed out.
const PORTS: u32 = 20_000;

/// Distance between the ports with which two test processes begin.
const STRIDE: u32 = 331;

/// A port that nobody listens on.
fn port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = std::process::id() * STRIDE + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = (FIRST_PORT + n % PORTS) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}

impl Instance {
    /// Starts an instance that uses the store at `platform`.
    pub(super) fn start(name: &str, platform: SocketAddr) -> Self {
        let mut instance = Self::prepare(name, platform, port());
        instance.launch();
        instance
    }

    /// Writes the settings of an instance that takes callers at `front`.
    pub(super) fn prepare(name: &str, platform: SocketAddr, front: SocketAddr) -> Self {
        let (ready, peer) = (port(), port());
        let boot = json!({
            "node_name": name, "role": "cell", "ip": "127.0.0.1", "zone": "a",
            "listen_addrs": {"front": front.to_string(), "ready": ready.to_string()},
            "internal_ports": [peer.port()], "limits": {"cpu_share": 0.25, "cpu_cores": 1}, "advice": null,
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
            settings,
            child: None,
        }
    }

    /// Runs the process to its end; returns its exit status and what it wrote.
    pub(super) fn run(&self) -> (Option<i32>, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_bamboolock-cell"))
            .env("BAMBOOLOCK_BOOT", &self.settings)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        (output.status.code(), text)
    }

    /// Starts the process, again after it was killed.
    pub(super) fn launch(&mut self) {
        let log = self.settings.with_extension("log");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_bamboolock-cell"))
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

    /// Sends a signal by its name.
    pub(super) fn signal(&self, name: &str) {
        let pid = self.child.as_ref().unwrap().id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(sent.unwrap().success());
    }

    /// Whether the process has ended by itself.
    pub(super) fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut().unwrap();
        child.try_wait().unwrap().is_some()
    }

    pub(super) fn is_ready(&self) -> bool {
        exchange(self.ready, "GET", "/bamboolock/ready", "")
            .is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_file(&self.settings);
        if !std::thread::panicking() {
            let _ = fs::remove_file(self.settings.with_extension("log"));
        }
    }
}

/// One exchange; none when no whole answer came.
pub(super) fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let len = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let body = answer.split_once("\r\n\r\n")?.1.to_owned();
    Some((status, body))
}
