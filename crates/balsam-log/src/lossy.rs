//! Log lines that never hold up their writer.

use crate::format::{InitError, builder};
use env_logger::Target;
use log::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that wait for a slow reader of the standard output; further ones are dropped and counted.
const WAITING_LINES_MAX: usize = 2_048;

/// Writes the waiting lines when it is dropped.
#[derive(Debug)]
pub struct LogGuard(#[expect(dead_code, reason = "its drop writes the waiting lines")] WorkerGuard);

/// Counts the lines that were dropped; cheap to clone. Without a lossy logger none are.
#[derive(Clone, Debug, Default)]
pub struct LostLines(Option<ErrorCounter>);

impl LostLines {
    /// Returns the number of lines that were dropped since the start.
    pub fn count(&self) -> usize {
        self.0.as_ref().map_or(0, ErrorCounter::dropped_lines)
    }
}

/// Installs a logger that writes to the standard output from a thread of its own.
///
/// # Errors
///
/// Returns an [`InitError`] if the process has a logger already.
pub fn init_lossy(level: LevelFilter) -> Result<(LogGuard, LostLines), InitError> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES_MAX)
        .finish(std::io::stdout());
    let lost = writer.error_counter();
    let mut builder = builder(level);
    builder.target(Target::Pipe(Box::new(writer)));
    InitError::check(builder.try_init())?;
    Ok((LogGuard(guard), LostLines(Some(lost))))
}
