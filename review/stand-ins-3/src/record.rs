//! Record of what was sent, answered and run, with times since the start of the script.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Record of a script. Clones write to the same file.
#[derive(Clone, Debug)]
pub struct CaseRecord {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl CaseRecord {
    /// Creates the file of the record.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the file cannot be created.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            began: Instant::now(),
        })
    }

    /// Adds a line to the record.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let text = text.as_ref();
        if writeln!(file, "{at:9.3} s  {text}").is_err() {
            eprintln!("{at:9.3} s  {text}");
        }
    }
}
