//! Prints results as JSON lines and as a table.

use super::MeasureError;
use super::error::FileSnafu;
use serde::Serialize;
use serde_json::{Map, Value};
use snafu::ResultExt;
use std::io::{self, Write};

/// The results of one run of the program.
#[derive(Debug)]
pub struct Sheet {
    table: bool,
    rows: Vec<(&'static str, Map<String, Value>)>,
}

impl Sheet {
    /// Makes an empty sheet that prints a table at its end if `table` is set.
    pub const fn new(table: bool) -> Self {
        Self {
            table,
            rows: Vec::new(),
        }
    }

    /// Prints a result as one JSON line and keeps it for the table.
    ///
    /// # Errors
    ///
    /// Returns an error if the result cannot be written.
    pub fn add(&mut self, kind: &'static str, result: &impl Serialize) -> Result<(), MeasureError> {
        let mut row = Map::new();
        row.insert("kind".to_owned(), kind.into());
        if let Value::Object(values) = serde_json::to_value(result)? {
            row.extend(
                values
                    .into_iter()
                    .map(|(name, value)| (name, rounded(value))),
            );
        }
        let line = serde_json::to_string(&row)?;
        row.remove("kind");
        print_line(&line)?;
        self.rows.push((kind, row));
        Ok(())
    }

    /// Prints the results as one table for each kind, if a table is wanted.
    ///
    /// # Errors
    ///
    /// Returns an error if the table cannot be written.
    pub fn finish(&self) -> Result<(), MeasureError> {
        if !self.table {
            return Ok(());
        }
        let mut kinds: Vec<&str> = self.rows.iter().map(|(kind, _)| *kind).collect();
        kinds.dedup();
        for (at, kind) in kinds.iter().enumerate() {
            if !kinds[..at].contains(kind) {
                self.print_table(kind)?;
            }
        }
        Ok(())
    }

    fn print_table(&self, kind: &str) -> Result<(), MeasureError> {
        let rows: Vec<&Map<String, Value>> = self
            .rows
            .iter()
            .filter_map(|(of, row)| (*of == kind).then_some(row))
            .collect();
        let mut columns: Vec<&str> = Vec::new();
        for name in rows.iter().flat_map(|row| row.keys()) {
            if !columns.contains(&name.as_str()) {
                columns.push(name);
            }
        }
        let cell =
            |row: &Map<String, Value>, column: &str| row.get(column).map_or_else(String::new, text);
        print_line(&format!("\n{kind}"))?;
        let widths: Vec<usize> = columns
            .iter()
            .map(|column| {
                let cells = rows.iter().map(|row| cell(row, column).len());
                cells.max().unwrap_or(0).max(column.len())
            })
            .collect();
        let line = |cells: Vec<String>| {
            let padded = cells.iter().zip(&widths);
            let padded: Vec<String> = padded
                .map(|(cell, width)| format!("{cell:>width$}"))
                .collect();
            padded.join("  ")
        };
        print_line(&line(
            columns.iter().map(|&column| column.to_owned()).collect(),
        ))?;
        for row in &rows {
            let cells = columns.iter().map(|column| cell(row, column));
            print_line(&line(cells.collect()))?;
        }
        Ok(())
    }
}

/// Seven digits behind the point, so that the memory of one slice can be told from 0.
const DIGITS: f64 = 10_000_000.0;

fn rounded(value: Value) -> Value {
    match value.as_f64() {
        Some(number) if value.is_f64() => Value::from((number * DIGITS).round() / DIGITS + 0.0),
        _ => value,
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

fn print_line(line: &str) -> Result<(), MeasureError> {
    writeln!(io::stdout(), "{line}").context(FileSnafu {
        path: "standard output",
    })
}
