//! Notices that a file has changed, with or without a signal.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Looks at a file's text; a change is told once.
#[derive(Debug)]
pub struct FileWatch {
    path: PathBuf,
    text: Option<String>,
    signalled: Arc<AtomicBool>,
}

impl FileWatch {
    /// Creates a watch of a file whose present text is known.
    pub fn new(path: PathBuf) -> Self {
        Self {
            text: fs::read_to_string(&path).ok(),
            path,
            signalled: Arc::default(),
        }
    }

    /// Returns the file's path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns what a signal's handler sets to have the file taken for changed.
    pub fn signalled(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.signalled)
    }

    /// Tells whether the file has changed, or a signal came, since the last look.
    pub fn has_changed(&mut self) -> bool {
        let signalled = self.signalled.swap(false, Ordering::Relaxed);
        let text = fs::read_to_string(&self.path).ok();
        let changed = text != self.text;
        self.text = text;
        changed || signalled
    }
}
