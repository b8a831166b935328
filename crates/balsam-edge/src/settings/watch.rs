//! Notices changes of the settings file.

use super::{Settings, SettingsError};
use std::path::PathBuf;

/// The settings file and what it held last.
#[derive(Debug)]
pub struct SettingsWatcher {
    path: PathBuf,
    last: Option<Vec<u8>>,
}

impl SettingsWatcher {
    /// Watches the file whose settings are in force.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        let path = path.into();
        let last = std::fs::read(&path).ok();
        Self { path, last }
    }

    /// Reads the file; returns the settings if its content has changed since the last look.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`], once for each content that cannot be used.
    pub fn poll(&mut self) -> Result<Option<Settings>, SettingsError> {
        let content = std::fs::read(&self.path).ok();
        if content == self.last {
            return Ok(None);
        }
        self.last = content;
        Settings::read(&self.path).map(Some)
    }
}
