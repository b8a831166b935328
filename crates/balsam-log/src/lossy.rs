//! Non-blocking logging: a slow reader of the output never delays the process.

use crate::format::{InitError, builder};
use env_logger::Target;
use log::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// The number of lines buffered for a slow reader of standard output. When the buffer is full,
/// further lines are dropped and counted.
const BUFFERED_LINES_MAX: usize = 2_048;

/// Flushes the buffered lines when it is dropped.
#[derive(Debug)]
pub struct LogGuard(
    #[expect(dead_code, reason = "dropping it flushes the buffered lines")] WorkerGuard,
);

/// Counts dropped log lines; cheap to clone. The default value, for a process without a
/// non-blocking logger, always reports zero.
#[derive(Clone, Debug, Default)]
pub struct LostLines(Option<ErrorCounter>);

impl LostLines {
    /// Returns the number of lines dropped since the process started.
    pub fn count(&self) -> usize {
        self.0.as_ref().map_or(0, ErrorCounter::dropped_lines)
    }
}

/// Installs a logger that writes JSON lines to standard output from a separate thread.
///
/// # Errors
///
/// Returns an [`InitError`] if a logger is already installed.
pub fn init_lossy(level: LevelFilter) -> Result<(LogGuard, LostLines), InitError> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES_MAX)
        .finish(std::io::stdout());
    let lost = writer.error_counter();
    let mut builder = builder(level);
    builder.target(Target::Pipe(Box::new(writer)));
    InitError::check(builder.try_init())?;
    Ok((LogGuard(guard), LostLines(Some(lost))))
}
