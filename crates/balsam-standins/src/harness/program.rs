//! The project's binaries.

use std::io;
use std::path::PathBuf;

/// A binary of the project.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// The daemon.
    Daemon,
    /// The operator client.
    Ctl,
    /// The platform's stand-in.
    Platform,
    /// The upstream's stand-in.
    Upstream,
    /// The measurement program.
    Measure,
}

impl Program {
    /// Returns the name of the binary.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Daemon => "balsamswitchd",
            Self::Ctl => "balsamctl",
            Self::Platform => "balsam-platform",
            Self::Upstream => "balsam-upstream",
            Self::Measure => "balsam-measure",
        }
    }

    /// Returns the path of the binary beside the running one, or one folder above it.
    ///
    /// Test binaries lie in a folder below the one that holds the project's binaries.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `NotFound` if the binary has not been built.
    pub fn path(self) -> io::Result<PathBuf> {
        let running = std::env::current_exe()?;
        running
            .ancestors()
            .skip(1)
            .take(2)
            .map(|folder| folder.join(self.name()))
            .find(|path| path.is_file())
            .ok_or_else(|| {
                let hint = format!("{} is not built; build the workspace first", self.name());
                io::Error::new(io::ErrorKind::NotFound, hint)
            })
    }
}
