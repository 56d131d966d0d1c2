//! The platform's store: a log with topics, as PROTOCOL.md describes it. One partition a topic.

use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{Answer, Request};

/// `record_bytes` and `call_bytes` of the settings.
pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;

const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// Number of appends whose first response is repeated.
const REPEATS: usize = 5;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Newest value of each key, with its offset.
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    epoch: u64,
    next: u64,
    /// Sequence numbers of the last appends, with their responses.
    last: Vec<(u64, String)>,
}

impl Topic {
    fn push(&mut self, record: Vec<u8>) {
        let len = usize::from(record.first().copied().unwrap_or(0)) + 1;
        let (key, value) = (record[1..len.min(record.len())].to_vec(), &record[len.min(record.len())..]);
        match value.is_empty() {
            true => drop(self.newest.remove(&key)),
            false => drop(self.newest.insert(key, (self.records.len() as u64, value.to_vec()))),
        }
        self.records.push(record);
    }
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    grown: Condvar,
    /// Appends that were rejected since a record exceeds the limit: time, epoch and size.
    pub too_large: Mutex<Vec<(Instant, u64, usize)>>,
}

fn json(status: u16, text: String) -> Answer {
    Some((status, text.into_bytes()))
}

impl Store {
    /// Writes a record as the operator or a worker.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend(key.bytes());
        record.extend(value);
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(record);
        self.grown.notify_all();
    }

    pub fn serve(&self, request: &Request) -> Answer {
        match request.path.as_str() {
            "/bamboolock/log-append" => self.append(request),
            "/bamboolock/log-read" => self.read(request),
            "/bamboolock/log-newest" => self.newest(request),
            _ => json(404, "{}".to_owned()),
        }
    }

    fn append(&self, request: &Request) -> Answer {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let name = request.query.get("topic")?.clone();
        if name == "keyed.op" || name == "keyed.servers" {
            return json(403, "{}".to_owned());
        }
        if request.body.len() > CALL_BYTES + (64 << 10) {
            return json(413, "{}".to_owned());
        }
        let fenced = |topics: &BTreeMap<String, Topic>| {
            let newest = topics.get(&name).map_or(0, |topic| topic.epoch);
            number("epoch").is_some_and(|epoch| epoch < newest)
        };
        // A former producer hears so, whatever it sends.
        if fenced(&self.topics.lock().unwrap()) {
            return json(409, r#"{"reason":"fenced"}"#.to_owned());
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while let Some((len, tail)) = rest.split_first_chunk::<4>() {
            let len = u32::from_be_bytes(*len) as usize;
            if len > tail.len() {
                return json(400, "{}".to_owned());
            }
            if len > RECORD_BYTES {
                let note = (Instant::now(), number("epoch").unwrap_or(0), len);
                self.too_large.lock().unwrap().push(note);
                return json(413, r#"{"reason":"record_bytes"}"#.to_owned());
            }
            records.push(tail[..len].to_vec());
            rest = &tail[len..];
        }
        if records.iter().map(Vec::len).sum::<usize>() > CALL_BYTES {
            return json(413, r#"{"reason":"call_bytes"}"#.to_owned());
        }
        // Time of an append and of the way.
        std::thread::sleep(Duration::from_millis(3));
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name).or_default();
        let end = topic.records.len() as u64;
        if number("at").is_some_and(|at| at != end) {
            return json(412, format!(r#"{{"end":{end}}}"#));
        }
        let producer = number("epoch").zip(number("sequence"));
        if let Some((epoch, sequence)) = producer {
            if epoch < topic.epoch {
                return json(409, r#"{"reason":"fenced"}"#.to_owned());
            }
            if epoch > topic.epoch {
                topic.last.clear();
            } else {
                let before = topic.last.iter().find(|(s, _)| *s == sequence);
                if let Some((_, response)) = before {
                    return json(200, response.clone());
                }
                if sequence != topic.next {
                    let next = topic.next;
                    return json(409, format!(r#"{{"reason":"seq","sequence":{next}}}"#));
                }
            }
            (topic.epoch, topic.next) = (epoch, sequence + 1);
        }
        for record in records {
            topic.push(record);
        }
        let response = format!(r#"{{"offset":{end},"end":{}}}"#, topic.records.len());
        if let Some((_, sequence)) = producer {
            topic.last.push((sequence, response.clone()));
            if topic.last.len() > REPEATS {
                topic.last.remove(0);
            }
        }
        self.grown.notify_all();
        json(200, response)
    }

    fn read(&self, request: &Request) -> Answer {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let name = request.query.get("topic")?;
        let from = number("from")? as usize;
        let most = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.get(name).map_or(&[][..], |topic| &topic.records[..]);
            let now = Instant::now();
            if records.len() > from || now >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                    if body.len() > most {
                        break;
                    }
                }
                return Some((200, body));
            }
            topics = self.grown.wait_timeout(topics, until - now).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Answer {
        let name = request.query.get("topic")?;
        let after = request.query.get("depends_on").map(|text| decode_percent(text));
        let topics = self.topics.lock().unwrap();
        let none = Topic::default();
        let topic = topics.get(name).unwrap_or(&none);
        let mut items: Vec<String> = Vec::new();
        let (mut size, mut truncated) = (0, false);
        for (key, (offset, value)) in &topic.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() == PAGE_ITEMS || size + value.len() > PAGE_BYTES && !items.is_empty() {
                truncated = true;
                break;
            }
            size += value.len();
            let key = crate::json::quote(&String::from_utf8_lossy(key));
            let value = encode_base64(value);
            items.push(format!(r#"{{"key":{key},"value":"{value}","offset":{offset}}}"#));
        }
        let end = topic.records.len();
        let items = items.join(",");
        json(200, format!(r#"{{"items":[{items}],"truncated":{truncated},"end":{end}}}"#))
    }
}

fn decode_percent(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    out
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * i) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
