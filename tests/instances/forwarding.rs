//! Requests that an instance forwards to an owner that answers some of them late or never.

use std::{
    io::{
        BufRead,
        BufReader,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
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
    }, //
};

const JOB: &str = "000000000000fa01";
const OTHER: &str = "000000000000fa02";

/// Term of the stand-in's owner.
const TERM: u64 = 1;

/// Outage of the store after which an owner refuses submissions.
const OUTAGE: Duration = Duration::from_millis(1_200);

/// Stand-in of an owner: it answers heartbeats, and each forwarded request with the next of its
/// answers.
#[derive(Clone)]
struct Owner {
    address: SocketAddr,
    /// Forwarded requests, in the order of their arrival.
    asked: Arc<Mutex<Vec<String>>>,
}

impl Owner {
    /// Starts an owner with its answers to forwarded requests; `None` for no answer.
    fn start(answers: &'static [Option<&'static str>]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let owner = Self {
            address: listener.local_addr().unwrap(),
            asked: Arc::default(),
        };
        let server = owner.clone();
        thread::spawn(move || {
            for connection in listener.incoming() {
                let server = server.clone();
                // The instance closes the connection.
                thread::spawn(move || server.serve(&connection.unwrap(), answers));
            }
        });
        owner
    }

    fn serve(&self, connection: &TcpStream, answers: &[Option<&str>]) -> Option<()> {
        let mut reader = BufReader::new(connection);
        loop {
            let (path, body) = read_request(&mut reader)?;
            let answer = match path.as_str() {
                "/ping" => Some(json!({"term": TERM, "owner": true, "leaving": false}).to_string()),
                "/ask" => {
                    let mut asked = self.asked.lock().unwrap();
                    asked.push(body);
                    answers[(asked.len() - 1).min(answers.len() - 1)].map(str::to_owned)
                }
                _ => Some("null".to_owned()),
            };
            let Some(answer) = answer else { continue };
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            );
            let mut connection = connection;
            connection.write_all((head + &answer).as_bytes()).ok()?;
        }
    }
}

/// Reads a request; returns its path and body, or `None` at the end of the connection.
fn read_request(reader: &mut impl BufRead) -> Option<(String, String)> {
    let (mut path, mut len) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            len = value.trim().parse().ok()?;
        }
        if path.is_empty() {
            path = line.split(' ').nth(1)?.to_owned();
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some((path, String::from_utf8(body).ok()?))
}

/// Submits a job at an instance whose owner gives `answers`; returns the status of the response, and
/// the requests that reached the owner.
fn submit(answers: &'static [Option<&'static str>]) -> (Option<u16>, Vec<String>) {
    let owner = Owner::start(answers);
    let (address, platform) = standin::start(1, 8_000);
    let config = json!({
        "version": 1, "services": [{"name": "s"}],
        "routes": [{"name": "q", "host": "h", "path_prefix": "/q/", "service": "s", "target_latency_ms": 1_000}],
    });
    let record =
        json!({"term": TERM, "instance": "owner", "address": owner.address.to_string(), "life": 1});
    {
        let mut state = platform.lock().unwrap();
        state.publish("keyed.op", "config", &config);
        state.publish("keyed.owner", "owner", &record);
    }
    let name = format!("forwarding-{}", address.port());
    let instance = Instance::start_with_link(&name, address, 0.0);
    takeover::wait_until("the instance is ready", || instance.is_ready());
    let body = json!({"steps": [{"count": 1, "cpu": 1_000, "mem_mb": 64, "estimated_ms": 300}]});
    let path = format!("/q/{JOB}");
    let answer = processes::exchange(instance.front, "POST", &path, &body.to_string());
    let asked = owner.asked.lock().unwrap().clone();
    (answer.map(|(status, _)| status), asked)
}

#[test]
fn a_refusal_of_the_only_copy_of_a_submission_is_passed_on() {
    let (status, asked) = submit(&[Some("{\"refused\":1}")]);
    assert_eq!((status, asked.len()), (Some(503), 1));
}

/// Guards against a refusal that does not hold for a copy without an answer, which may arrive later:
/// the owner must be able to tell copies of one request from a caller's next request for the job.
#[test]
fn copies_of_a_submission_share_a_number_and_name_the_term_of_their_owner() {
    let (status, asked) = submit(&[None, Some("{\"refused\":1}")]);
    let copies: Vec<Value> = asked
        .iter()
        .map(|body| serde_json::from_str(body).unwrap())
        .collect();
    assert_eq!((status, copies.len()), (Some(503), 2));
    let number = copies[0]["submit"]["number"].as_u64();
    assert!(number.is_some_and(|number| number > 0), "{number:?}");
    assert_eq!(copies[1]["submit"]["number"].as_u64(), number);
    for copy in &copies {
        assert_eq!(copy["submit"]["term"], TERM);
    }
}

/// Sends a copy of the submission of a job to an owner; returns its answer.
fn ask(peer: SocketAddr, id: &str, number: u64, term: u64) -> String {
    let queue = json!({"name": "q", "host": "h", "prefix": "/q/", "service": "s", "priority": 0,
        "attempts": 2, "stretch": 2.0, "target": 1_000, "policy_cost": null});
    let resources =
        json!({"millicores": 1_000, "memory": 64, "accelerators": 0, "slots": 0, "connections": 0});
    let step = json!({"count": 1, "demand": resources, "estimate": 300});
    let copy = json!({"submit": {"id": id, "queue": queue, "work": {"spec": "x", "steps": [step]},
        "patience": 3_000, "number": number, "term": term}});
    let answer = processes::exchange(peer, "POST", "/ask", &copy.to_string());
    let (status, body) = answer.unwrap();
    assert_eq!(status, 200, "{body}");
    body
}

fn term(cell: &Cell) -> u64 {
    let state = cell.platform.lock().unwrap();
    state.owner().map_or(0, |(term, _)| term)
}

/// Creates a cell of one instance, which owns it.
fn owned() -> Cell {
    let cell = Cell::start(1);
    let mut state = cell.platform.lock().unwrap();
    state.instances = vec![cell.instances[0].name.clone()];
    drop(state);
    takeover::wait_until("the instance owns the cell", || {
        cell.instances[0].log().contains("term begins")
    });
    cell
}

/// Guards against a job that runs although its caller was told that it does not: a copy of the request
/// that arrives after another one was refused.
#[test]
fn a_late_copy_of_a_refused_submission_is_not_accepted() {
    let cell = owned();
    let (peer, term) = (cell.instances[0].peer, term(&cell));
    cell.platform.lock().unwrap().fault.down = true;
    // The batch with this job shows the outage to the owner.
    let first = thread::spawn(move || ask(peer, OTHER, 1, term));
    thread::sleep(OUTAGE);
    assert_eq!(ask(peer, JOB, 7, term), "{\"refused\":1}");
    cell.platform.lock().unwrap().fault.down = false;
    assert_eq!(first.join().unwrap(), "\"accepted\"");
    assert_eq!(ask(peer, JOB, 7, term), "{\"refused\":1}", "a late copy");
    assert_eq!(ask(peer, JOB, 8, term), "\"accepted\"", "another request");
}

/// The same for a copy that was meant for the owner of another term, which may have refused the job.
#[test]
fn a_submission_for_another_term_is_not_accepted() {
    let cell = owned();
    let (peer, term) = (cell.instances[0].peer, term(&cell));
    assert_eq!(ask(peer, JOB, 7, term + 1), "\"elsewhere\"");
    assert_eq!(ask(peer, JOB, 7, term), "\"accepted\"");
    // Earlier builds name no term.
    assert_eq!(ask(peer, OTHER, 0, 0), "\"accepted\"");
}
