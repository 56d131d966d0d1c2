//! The platform: its store with the log, the operator's configuration, and the registrations that
//! workers write.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response},
    json::quote,
};

/// Limits of the settings file's `platform` on the pages.
pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;

/// Most items, and most bytes, of a page of the newest records.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// Time of an answer on the sheet.
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: u64,
    /// Responses to the last appends, by their sequence numbers.
    last: Vec<(u64, String)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Arc<Vec<u8>>>,
    producers: BTreeMap<String, Producer>,
    newest: BTreeMap<String, (u64, Arc<Vec<u8>>)>,
}

#[derive(Default)]
struct Topics(BTreeMap<String, Topic>);

/// The store, and how often it has refused a record for its size.
pub struct Store {
    topics: Mutex<Topics>,
    changed: Condvar,
    pub too_large: Mutex<(u64, usize)>,
}

impl Topic {
    fn push(&mut self, record: &[u8], keyed: bool) {
        let offset = self.records.len() as u64;
        let record = Arc::new(record.to_vec());
        if keyed && !record.is_empty() {
            let len = usize::from(record[0]);
            if record.len() > len {
                let key = String::from_utf8_lossy(&record[1..=len]).into_owned();
                match record.len() > 1 + len {
                    true => drop(self.newest.insert(key, (offset, record.clone()))),
                    false => drop(self.newest.remove(&key)),
                }
            }
        }
        self.records.push(record);
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(char::from(DIGITS[(word >> (18 - 6 * i) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}

impl Store {
    /// Starts the store at `address`.
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the address of the store is free");
        let store = Arc::new(Self {
            topics: Mutex::default(),
            changed: Condvar::new(),
            too_large: Mutex::default(),
        });
        let served = store.clone();
        std::thread::spawn(move || {
            http::serve(
                listener,
                Arc::new(move |request| Some(served.handle(&request))),
            )
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Topics> {
        self.topics.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Writes a record with a key, as the operator and the workers do; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.lock()
            .0
            .entry(topic.to_owned())
            .or_default()
            .push(&record, true);
        self.changed.notify_all();
    }

    /// Newest value of a key.
    pub fn value(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let topics = self.lock();
        let (_, record) = topics.0.get(topic)?.newest.get(key)?;
        Some(record[1 + key.len()..].to_vec())
    }

    fn handle(&self, request: &Request) -> Response {
        std::thread::sleep(ANSWER);
        match request.path.as_str() {
            "/bamboolock/log-append" => self.append(request),
            "/bamboolock/log-read" => self.read(request),
            "/bamboolock/log-newest" => self.newest(request),
            _ => Response::json(404, "{}".to_owned()),
        }
    }

    /// Refuses an append with a record over the limit.
    fn refuse_size(&self, largest: usize) -> Response {
        let mut refused = self.too_large.lock().unwrap_or_else(|e| e.into_inner());
        *refused = (refused.0 + 1, largest);
        Response::json(413, "{}".to_owned())
    }

    fn append(&self, request: &Request) -> Response {
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let Some(name) = request.query.get("topic") else {
            return Response::json(400, "{}".to_owned());
        };
        if name == "keyed.op" || name == "keyed.servers" {
            return Response::json(403, "{}".to_owned());
        }
        let mut records: Vec<&[u8]> = Vec::new();
        let mut rest = request.body.as_slice();
        while let Some((len, tail)) = rest.split_first_chunk::<4>() {
            let len = u32::from_be_bytes(*len) as usize;
            if len > tail.len() {
                return Response::json(400, "{}".to_owned());
            }
            let (record, tail) = tail.split_at(len);
            records.push(record);
            rest = tail;
        }
        let largest = records.iter().map(|r| r.len()).max().unwrap_or(0);
        let too_large = largest > RECORD_BYTES || request.body.len() > CALL_BYTES;
        let mut topics = self.lock();
        let topic = topics.0.entry(name.clone()).or_default();
        let end = topic.records.len() as u64;
        if number("at").is_some_and(|at| at != end) {
            return Response::json(412, format!("{{\"end\":{end}}}"));
        }
        let answer = format!(
            "{{\"offset\":{end},\"end\":{}}}",
            end + records.len() as u64
        );
        if let (Some(id), Some(epoch), Some(sequence)) = (
            request.query.get("producer"),
            number("epoch"),
            number("sequence"),
        ) {
            let producer = topic.producers.entry(id.clone()).or_default();
            if epoch < producer.epoch {
                return Response::json(409, "{\"reason\":\"fenced\"}".to_owned());
            }
            if epoch == producer.epoch {
                if let Some((_, first)) =
                    producer.last.iter().find(|(number, _)| *number == sequence)
                {
                    return Response::json(200, first.clone());
                }
                if sequence != producer.next {
                    return Response::json(
                        409,
                        format!("{{\"reason\":\"seq\",\"sequence\":{}}}", producer.next),
                    );
                }
            }
            if too_large {
                return self.refuse_size(largest);
            }
            if epoch > producer.epoch {
                producer.last.clear();
            }
            (producer.epoch, producer.next) = (epoch, sequence + 1);
            producer.last.push((sequence, answer.clone()));
            if producer.last.len() > 5 {
                producer.last.remove(0);
            }
        }
        if too_large {
            return self.refuse_size(largest);
        }
        let keyed = name.starts_with("keyed.");
        records.iter().for_each(|record| topic.push(record, keyed));
        drop(topics);
        self.changed.notify_all();
        Response::json(200, answer)
    }

    fn read(&self, request: &Request) -> Response {
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let Some(name) = request.query.get("topic") else {
            return Response::json(400, "{}".to_owned());
        };
        let from = number("from").unwrap_or(0) as usize;
        let most = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until =
            Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let mut topics = self.lock();
        loop {
            let records = topics
                .0
                .get(name)
                .map_or(&[][..], |topic| &topic.records[..]);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > most {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Response { status: 200, body };
            }
            topics = self
                .changed
                .wait_timeout(topics, left)
                .unwrap_or_else(|e| e.into_inner())
                .0;
        }
    }

    fn newest(&self, request: &Request) -> Response {
        let topics = self.lock();
        let Some(topic) = request
            .query
            .get("topic")
            .and_then(|name| topics.0.get(name))
        else {
            return Response::json(404, "{}".to_owned());
        };
        let after = request.query.get("depends_on");
        let mut items = Vec::new();
        let mut size = 0;
        let mut truncated = false;
        for (key, (offset, record)) in &topic.newest {
            if after.is_some_and(|after| key <= after) {
                continue;
            }
            let value = &record[1 + key.len()..];
            if items.len() >= PAGE_ITEMS || size > 0 && size + value.len() > PAGE_BYTES {
                truncated = true;
                break;
            }
            size += value.len();
            items.push(format!(
                "{{\"key\":{},\"value\":\"{}\",\"offset\":{offset}}}",
                quote(key),
                base64(value)
            ));
        }
        Response::json(
            200,
            format!(
                "{{\"items\":[{}],\"truncated\":{truncated},\"end\":{}}}",
                items.join(","),
                topic.records.len()
            ),
        )
    }
}
