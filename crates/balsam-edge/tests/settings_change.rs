//! A settings file that changes while the daemon runs must be noticed, and an invalid one must
//! change nothing.

#[path = "support/settings.rs"]
mod settings;

use balsam_edge::settings::{Settings, SettingsWatcher};
use serde_json::{Value, json};
use settings::settings_json;
use std::path::Path;

fn write(path: &Path, settings: &Value) {
    std::fs::write(path, settings.to_string()).expect("a written file");
}

/// A change without a signal must be returned once, with the fields that need a restart.
#[test]
fn silent_change() {
    let file = tempfile::NamedTempFile::new().expect("a file");
    write(file.path(), &settings_json());
    let first = Settings::read(file.path()).expect("settings");
    let mut watch = SettingsWatcher::new(file.path());
    assert!(watch.poll().expect("readable").is_none());
    let mut changed = settings_json();
    changed["bounds"]["grace_s"] = json!(9);
    changed["store"] = json!("127.0.0.1:6");
    write(file.path(), &changed);
    let next = watch.poll().expect("readable").expect("a change");
    assert_eq!(next.bounds.grace_ms(), 9_000);
    assert_eq!(first.changes_requiring_restart(&next), ["store"]);
    assert!(watch.poll().expect("readable").is_none());
}

/// An invalid file must be reported once, and a repaired one must be accepted.
#[test]
fn bad_change() {
    let file = tempfile::NamedTempFile::new().expect("a file");
    write(file.path(), &settings_json());
    let mut watch = SettingsWatcher::new(file.path());
    std::fs::write(file.path(), "{").expect("a written file");
    watch.poll().unwrap_err();
    assert!(watch.poll().expect("reported before").is_none());
    write(file.path(), &settings_json());
    assert!(watch.poll().expect("readable").is_some());
}
