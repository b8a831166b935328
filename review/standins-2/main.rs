//! Plays the script cases of the second review.
//!
//! `standin CASE FOLDER` writes `record.txt` to the folder. It exits with 1 if the rule was broken,
//! 0 if it held and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod chunked_uploads;
mod daemon;
mod early_restore;
mod forged_entry;
mod longer_grace;
mod http;
mod json;
mod record;
mod store;
mod target;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use std::{env, fs, process};

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// What each case gets.
pub struct Context {
    pub record: Record,
    /// A temporary folder.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

/// The time after which a case is given up.
const PLAY_MAX: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    daemon::limit_play(PLAY_MAX);
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let temporary = env::temp_dir().join(format!("balsam-review-{}", process::id()));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, disruption {}", if has_trouble { "on" } else { "off" }));
    let context = Context { record, folder: temporary.clone(), has_trouble };
    let verdict = match case.as_str() {
        "chunked-uploads" => chunked_uploads::play(&context),
        "early-restore" => early_restore::play(&context),
        "forged-entry" => forged_entry::play(&context),
        "longer-grace" => longer_grace::play(&context),
        _ => Verdict::NotRun(format!("there is no case {case}")),
    };
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&temporary);
    }
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("HELD: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::NotRun(text) => (2, format!("NOT RUN: {text}")),
    };
    context.record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
