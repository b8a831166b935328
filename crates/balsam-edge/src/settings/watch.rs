//! Detects changes of the settings file.

use super::{Settings, SettingsError};
use std::path::PathBuf;

/// The settings file and its last known content.
#[derive(Debug)]
pub struct SettingsWatcher {
    path: PathBuf,
    /// `None` if the file could not be read.
    last_content: Option<Vec<u8>>,
}

impl SettingsWatcher {
    /// Creates a watcher of the file whose settings are in force.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        let path = path.into();
        let last_content = std::fs::read(&path).ok();
        Self { path, last_content }
    }

    /// Reads the file. Returns the settings if the content has changed since the last call.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] if the changed content cannot be used. The same content is
    /// reported only once.
    pub fn poll(&mut self) -> Result<Option<Settings>, SettingsError> {
        let content = std::fs::read(&self.path).ok();
        if content == self.last_content {
            return Ok(None);
        }
        self.last_content = content;
        Settings::read(&self.path).map(Some)
    }
}
