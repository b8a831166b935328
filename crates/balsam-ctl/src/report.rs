//! The result of a command, as a table or as JSON.

use balsam_wire::operator::{CommandResponse, CommandState};
use serde::Serialize;
use serde_json::Value;
use std::fmt;

/// Rows under headings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    headings: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table without rows.
    pub fn new(headings: impl Into<Vec<&'static str>>) -> Self {
        Self {
            headings: headings.into(),
            rows: Vec::new(),
        }
    }

    /// Adds a row with one text for each heading.
    #[must_use]
    pub fn with_row(mut self, row: impl Into<Vec<String>>) -> Self {
        self.rows.push(row.into());
        self
    }

    /// Adds rows.
    #[must_use]
    pub fn with_rows(mut self, rows: impl IntoIterator<Item = Vec<String>>) -> Self {
        self.rows.extend(rows);
        self
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let headings: Vec<String> = self
            .headings
            .iter()
            .map(|text| text.to_uppercase())
            .collect();
        let lines: Vec<&Vec<String>> = std::iter::once(&headings).chain(&self.rows).collect();
        let width = |column: usize| {
            let cells = lines.iter().filter_map(|line| line.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..headings.len()).map(width).collect();
        for line in lines {
            let cells: Vec<String> = line
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(f, "{}", cells.join("  ").trim_end())?;
        }
        Ok(())
    }
}

/// The result of a command.
#[derive(Clone, Debug)]
pub struct Report {
    /// The result for scripts.
    pub json: Value,
    /// The result for people.
    pub text: String,
    /// Whether a change is committed but not yet in force.
    pub pending: bool,
}

impl Report {
    /// Makes a report of `answer`, shown to people as `shown`.
    pub fn new(answer: &impl Serialize, shown: impl fmt::Display) -> Self {
        Self {
            json: serde_json::to_value(answer).unwrap_or(Value::Null),
            text: shown.to_string(),
            pending: false,
        }
    }

    /// Makes a report of a text that has no JSON form of its own.
    pub fn of_text(text: String) -> Self {
        Self {
            json: Value::String(text.clone()),
            text,
            pending: false,
        }
    }

    /// Makes a report of a change of `subject`.
    pub fn of_change(subject: impl fmt::Display, response: &CommandResponse) -> Self {
        let epoch = response.epoch;
        let state = match (response.state, response.everywhere) {
            (CommandState::Accepted, true) => "in force everywhere",
            (CommandState::Accepted, false) => "accepted",
            (CommandState::Pending, _) => "committed, but no majority has adopted it yet",
        };
        Self {
            pending: response.state == CommandState::Pending,
            ..Self::new(response, format!("{subject}: {state} (epoch {epoch})\n"))
        }
    }
}

/// Shows a value that may be absent.
pub(crate) fn or_dash<T: fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
