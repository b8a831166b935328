//! Stand-ins for the scripts of the third review: the store, targets, callers, and the cases that
//! play them against the project's daemons.
//!
//! Usage: standins-3 CASE FOLDER. It writes FOLDER/record.txt and exits with 1 if a rule was broken,
//! 0 if all held, and 2 if the case could not run. With TROUBLE=0 in its environment it leaves the
//! disruption out.

mod caller;
mod cases;
mod checks;
mod daemon;
mod holds;
mod http;
mod json;
mod other;
mod record;
mod soak;
mod store;
mod target;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins-3 CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(record::Record::new());
    let files = std::env::temp_dir().join(format!("review-3-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&files).is_err() {
        eprintln!("no temporary folder");
        exit(2);
    }
    let outcome = cases::play(&case, has_trouble, &files, &record);
    let violations = record.violations();
    record.line(&format!(
        "end: {outcome:?}, {} violations",
        violations.len()
    ));
    let written = record.write(&PathBuf::from(&folder).join("record.txt"));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&files);
    }
    for violation in violations.iter().take(5) {
        println!("{violation}");
    }
    if let Err(reason) = outcome {
        eprintln!("the case could not run: {reason}");
        exit(2);
    }
    if let Err(error) = written {
        eprintln!("the record could not be written: {error}");
        exit(2);
    }
    exit(i32::from(!violations.is_empty()));
}
