//! What was sent, answered and run, in memory for the judge and in `record.txt`.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::Mutex,
    time::Instant,
};

use crate::worker::Event;

pub struct Record {
    began: Instant,
    out: Mutex<BufWriter<File>>,
    pub events: Mutex<Vec<(u64, Event)>>,
    /// Jobs whose tasks are left out of the file, by their count instead.
    brief: Mutex<Vec<String>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            out: Mutex::new(BufWriter::new(File::create(path)?)),
            events: Mutex::new(Vec::new()),
            brief: Mutex::new(Vec::new()),
        })
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Leaves the single tasks of a large job out of the file.
    pub fn shorten(&self, job: &str) {
        self.brief.lock().unwrap().push(job.to_owned());
    }

    pub fn line(&self, text: &str) {
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{:9.3} {text}", self.now() as f64 / 1_000.0);
        let _ = out.flush();
    }

    pub fn event(&self, event: Event) {
        let task = match &event {
            Event::Start { task, .. } | Event::End { task, .. } | Event::Noted { task, .. } => task.as_str(),
            Event::Crash { .. } => "",
        };
        let brief = self.brief.lock().unwrap().iter().any(|job| task.starts_with(job.as_str()));
        if !brief {
            self.line(&match &event {
                Event::Start { task, run, worker } => format!("worker {worker} starts {task} run {run}"),
                Event::End { task, run, worker, how } => format!("worker {worker} ends {task} run {run}: {how}"),
                Event::Noted { task, run, how } => format!("end of {task} run {run} ({how}) is taken note of"),
                Event::Crash { worker, runs } => format!("worker {worker} crashes with {runs} runs"),
            });
        }
        self.events.lock().unwrap().push((self.now(), event));
    }
}
