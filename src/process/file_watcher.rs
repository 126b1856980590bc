//! Notices that a file has changed, with or without a signal.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Looks at a file's text; a change is told once.
#[derive(Debug)]
pub struct FileWatcher {
    path: PathBuf,
    text: Option<String>,
    signal_flag: Arc<AtomicBool>,
}

impl FileWatcher {
    /// Creates a watch of a file whose present text is known.
    pub fn new(path: PathBuf) -> Self {
        Self {
            text: fs::read_to_string(&path).ok(),
            path,
            signal_flag: Arc::default(),
        }
    }

    /// Returns the file's path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns what a signal's handler sets to have the file taken for changed.
    pub fn signal_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.signal_flag)
    }

    /// Tells whether the file has changed, or a signal came, since the last look.
    pub fn has_changed(&mut self) -> bool {
        let signal_flag = self.signal_flag.swap(false, Ordering::Relaxed);
        let text = fs::read_to_string(&self.path).ok();
        let changed = text != self.text;
        self.text = text;
        changed || signal_flag
    }
}
