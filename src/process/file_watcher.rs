//! Detects changes of a file by comparing its content. A signal can also report a change.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Compares a file's text with the last read and reports each change once. A file that becomes
/// unreadable counts as changed.
#[derive(Debug)]
pub struct FileWatcher {
    path: PathBuf,
    text: Option<String>,
    signal_flag: Arc<AtomicBool>,
}

impl FileWatcher {
    /// Creates a watcher; the file's current text does not count as a change.
    pub fn new(path: PathBuf) -> Self {
        Self {
            text: fs::read_to_string(&path).ok(),
            path,
            signal_flag: Arc::default(),
        }
    }

    /// Returns the path of the watched file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns a flag that a signal handler sets to report the file as changed.
    pub fn signal_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.signal_flag)
    }

    /// Returns whether the file has changed or the signal flag was set since the last call.
    pub fn has_changed(&mut self) -> bool {
        let signalled = self.signal_flag.swap(false, Ordering::Relaxed);
        let text = fs::read_to_string(&self.path).ok();
        let changed = text != self.text;
        self.text = text;
        changed || signalled
    }
}
