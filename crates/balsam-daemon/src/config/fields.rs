//! Reads typed fields from a JSON object and collects validation errors.

use super::FieldFault;
use serde_json::{Map, Value};
use std::ops::RangeInclusive;
use std::str::FromStr;

/// A JSON object whose fields are removed as they are read.
///
/// [`Fields::finish`] reports the fields that were never read as unknown.
pub(super) struct Fields {
    prefix: &'static str,
    values: Map<String, Value>,
    known: Vec<&'static str>,
    faults: Vec<FieldFault>,
}

impl Fields {
    /// Creates a reader for `values`. Errors report each field as `prefix` followed by its name.
    pub(super) const fn new(prefix: &'static str, values: Map<String, Value>) -> Self {
        Self {
            prefix,
            values,
            known: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Removes a field and returns its raw value, or `None` if it is absent.
    pub(super) fn take(&mut self, name: &'static str) -> Option<Value> {
        self.known.push(name);
        self.values.remove(name)
    }

    /// Reads a required string field. `read` returns `None` for a string that is not accepted.
    pub(super) fn text<T>(
        &mut self,
        name: &'static str,
        accepted: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.take(name);
        if value.is_none() {
            self.faults.push(FieldFault::Missing {
                field: self.full_name(name),
                accepted: accepted.to_owned(),
            });
        }
        self.read_text(name, accepted, &value?, read)
    }

    /// Reads an optional string field. `read` returns `None` for a string that is not accepted.
    pub(super) fn optional_text<T>(
        &mut self,
        name: &'static str,
        accepted: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.take(name)?;
        self.read_text(name, accepted, &value, read)
    }

    /// Reads a required string field with the [`FromStr`] implementation of its type.
    pub(super) fn parsed<T: FromStr>(&mut self, name: &'static str, accepted: &str) -> Option<T> {
        self.text(name, accepted, |text| text.parse().ok())
    }

    /// Reads a required string field whose value never appears in an error.
    pub(super) fn secret<T>(
        &mut self,
        name: &'static str,
        accepted: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.take(name) else {
            self.faults.push(FieldFault::Missing {
                field: self.full_name(name),
                accepted: accepted.to_owned(),
            });
            return None;
        };
        let read_value = value.as_str().and_then(read);
        if read_value.is_none() {
            self.reject(name, "(hidden)".to_owned(), accepted);
        }
        read_value
    }

    /// Reads an integer within `range`. Returns `default` if the field is absent or invalid.
    pub(super) fn number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(value) = self.take(name) else {
            return default;
        };
        if let Some(number) = value.as_u64().filter(|number| range.contains(number)) {
            return number;
        }
        let accepted = format!("{} to {}", range.start(), range.end());
        self.reject(name, value.to_string(), &accepted);
        default
    }

    /// Adds an error for field `name`. The caller passes `value` as it may be shown to an operator.
    pub(super) fn reject(&mut self, name: &'static str, value: String, accepted: &str) {
        self.faults.push(FieldFault::Refused {
            field: self.full_name(name),
            value,
            accepted: accepted.to_owned(),
        });
    }

    /// Adds the validation errors of a nested object.
    pub(super) fn add_faults(&mut self, faults: Vec<FieldFault>) {
        self.faults.extend(faults);
    }

    /// Returns all errors, including one for each field that was never read.
    pub(super) fn finish(mut self) -> Vec<FieldFault> {
        let accepted = self.known.join(", ");
        for (name, value) in std::mem::take(&mut self.values) {
            let value = if name.contains("credential") {
                "(hidden)".to_owned()
            } else {
                value.to_string()
            };
            self.faults.push(FieldFault::Unknown {
                field: self.full_name(&name),
                value,
                accepted: accepted.clone(),
            });
        }
        self.faults
    }

    fn read_text<T>(
        &mut self,
        name: &'static str,
        accepted: &str,
        value: &Value,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let read_value = value.as_str().and_then(read);
        if read_value.is_none() {
            self.reject(name, value.to_string(), accepted);
        }
        read_value
    }

    fn full_name(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }
}
