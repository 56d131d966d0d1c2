//! Copies of a submission that a path between two instances holds back and delivers later.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex, //
    },
    thread,
    time::Duration, //
};

use serde_json::{
    Value,
    json, //
};

use super::{
    processes::{
        self,
        Instance, //
    },
    standin,
    takeover::{
        self,
        Cell, //
    },
    workers::JobSpec, //
};

const JOB: &str = "000000000000fb01";
const OTHER: &str = "000000000000fb02";

/// Outage of the store after which an owner refuses submissions.
const OUTAGE: Duration = Duration::from_millis(1_200);

/// Time after a submission at which the path is back for new connections: before the instance repeats it.
const CUT: Duration = Duration::from_millis(700);

/// Time in which a submission would have started its task.
const START_TIME: Duration = Duration::from_millis(2_500);

/// Proxy whose connections hold back what their callers send. A connection that was held back delivers all
/// of it later, as one does whose path was cut off for a while.
struct Path {
    address: SocketAddr,
    gate: Arc<(Mutex<Gate>, Condvar)>,
}

#[derive(Default)]
struct Gate {
    /// Number of connections that were opened.
    opened: usize,
    /// Connections opened before this one are held back.
    held: usize,
}

impl Path {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let gate = Arc::new((Mutex::new(Gate::default()), Condvar::new()));
        let shared = gate.clone();
        thread::spawn(move || {
            for caller in listener.incoming() {
                let caller = caller.unwrap();
                let server = TcpStream::connect(target).unwrap();
                let (answers, to_caller) =
                    (server.try_clone().unwrap(), caller.try_clone().unwrap());
                let number = {
                    let mut gate = shared.0.lock().unwrap();
                    gate.opened += 1;
                    gate.opened - 1
                };
                let gate = shared.clone();
                thread::spawn(move || {
                    forward(caller, server, || {
                        let held = gate.0.lock().unwrap();
                        drop(gate.1.wait_while(held, |gate| number < gate.held).unwrap());
                    });
                });
                thread::spawn(move || forward(answers, to_caller, || {}));
            }
        });
        Self { address, gate }
    }

    fn set(&self, held: impl FnOnce(&Gate) -> usize) {
        let mut gate = self.gate.0.lock().unwrap();
        gate.held = held(&gate);
        self.gate.1.notify_all();
    }

    /// Holds back all connections, also new ones.
    fn cut(&self) {
        self.set(|_| usize::MAX);
    }

    /// Serves new connections; the open ones stay held back.
    fn serve_new(&self) {
        self.set(|gate| gate.opened);
    }

    /// Delivers what was held back.
    fn release(&self) {
        self.set(|_| 0);
    }
}

/// Forwards one direction of a connection; `wait` returns once bytes may be delivered.
fn forward(mut from: TcpStream, mut to: TcpStream, wait: impl Fn()) {
    let mut chunk = [0; 16_384];
    while let Ok(len @ 1..) = from.read(&mut chunk) {
        wait();
        if to.write_all(&chunk[..len]).is_err() {
            break;
        }
    }
    wait();
    // The other side may have closed the connection before.
    let _ = to.shutdown(Shutdown::Write);
}

fn body() -> String {
    json!({"spec": "x", "steps": [{"count": 1, "cpu": 1_000, "mem_mb": 64, "estimated_ms": 300}]})
        .to_string()
}

fn submit(at: SocketAddr, id: &str) -> Option<u16> {
    let answer = processes::exchange(at, "POST", &format!("/q/{id}"), &body());
    answer.map(|(status, _)| status)
}

/// Cell of an owner, and another instance that reaches it through `path`.
struct Pair {
    cell: Cell,
    front: Instance,
    path: Path,
}

impl Pair {
    fn start() -> Self {
        let (platform, state) = standin::start(4, 8_000);
        let cell = Cell::start_at(platform, state, 1, 0.0);
        cell.platform.lock().unwrap().instances = vec![cell.instances[0].name.clone()];
        takeover::wait_until("the instance owns the cell", || {
            cell.instances[0].log().contains("term begins")
        });
        let path = Path::start(cell.instances[0].peer);
        {
            let mut state = cell.platform.lock().unwrap();
            for id in [JOB, OTHER] {
                let known = JobSpec {
                    steps: vec![(1, 1_000, false, Vec::new())],
                    accepted: true,
                    cancelled: None,
                };
                state.judge.jobs.insert(id.to_owned(), known);
            }
            // The instance that starts now reads where the owner is.
            let record = state.newest("keyed.owner", "owner").unwrap();
            let mut record: Value = serde_json::from_slice(&record).unwrap();
            record["address"] = json!(path.address.to_string());
            state.publish("keyed.owner", "owner", &record);
        }
        let front = Instance::start_with_link(&format!("late-{}", platform.port()), platform, 0.0);
        takeover::wait_until("the other instance is ready", || front.is_ready());
        Self { cell, front, path }
    }

    fn owner(&self) -> &Instance {
        &self.cell.instances[0]
    }
}

/// Guards against a job that runs although its caller was told that it does not: an instance repeats a
/// submission over a new connection, the owner refuses that copy, and the connection of the first copy
/// delivers it once the path and the store are back.
#[test]
fn a_refused_submission_does_not_run_when_its_first_copy_arrives() {
    let pair = Pair::start();
    let owner = pair.owner().front;
    pair.cell.platform.lock().unwrap().fault.down = true;
    // The batch with this job shows the outage to the owner.
    let other = thread::spawn(move || submit(owner, OTHER));
    thread::sleep(OUTAGE);
    pair.path.cut();
    let front = pair.front.front;
    let refused = thread::spawn(move || submit(front, JOB));
    thread::sleep(CUT);
    pair.path.serve_new();
    let refused = refused.join().unwrap();
    pair.cell.platform.lock().unwrap().fault.down = false;
    // It was sent to the store before the outage was known.
    assert_ne!(other.join().unwrap(), Some(503));
    takeover::wait_until("the store answers again", || {
        submit(owner, OTHER) == Some(200)
    });
    pair.path.release();
    thread::sleep(START_TIME);
    let path = format!("/q/{JOB}");
    let shown = processes::exchange(owner, "GET", &path, "").map(|(status, _)| status);
    assert_eq!((refused, shown), (Some(503), Some(410)));
    let late = pair
        .owner()
        .metric("bamboolock_cell_late_copies_total{cause=\"refused\"}");
    assert_eq!(late, Some(1), "the first copy has arrived");
    assert_eq!(submit(front, JOB), Some(200), "another request is taken");
}
