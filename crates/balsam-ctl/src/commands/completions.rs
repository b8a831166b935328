//! `balsamctl completions SHELL`.

use crate::{Cli, Report};
use clap::{Args, CommandFactory};
use clap_complete::{Shell, generate};

/// Prints completions for a shell.
#[derive(Debug, Args)]
pub struct Completions {
    /// The shell.
    shell: Shell,
}

impl Completions {
    /// Makes the completions.
    pub fn run(&self) -> Report {
        let mut text = Vec::new();
        generate(self.shell, &mut Cli::command(), "balsamctl", &mut text);
        Report::of_text(String::from_utf8_lossy(&text).into_owned())
    }
}
