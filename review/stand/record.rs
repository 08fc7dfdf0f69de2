//! What was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        writeln!(self.file.lock().unwrap(), "{at:9.3} {text}").ok();
    }

    /// To the record and to the screen.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.start).as_secs_f64()
    }
}
