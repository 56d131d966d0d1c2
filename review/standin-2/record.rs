//! Record of what was sent, answered and run.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).unwrap()),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// A line that is also shown.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
