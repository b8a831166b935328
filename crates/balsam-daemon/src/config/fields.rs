//! Reads fields of a JSON object and collects their faults.

use super::FieldFault;
use serde_json::{Map, Value};
use std::ops::RangeInclusive;
use std::str::FromStr;

/// Takes fields out of an object; what is left at the end is unknown.
pub(super) struct Fields {
    prefix: &'static str,
    values: Map<String, Value>,
    known: Vec<&'static str>,
    faults: Vec<FieldFault>,
}

impl Fields {
    /// Reads the fields of `values`, whose names are reported behind `prefix`.
    pub(super) const fn new(prefix: &'static str, values: Map<String, Value>) -> Self {
        Self {
            prefix,
            values,
            known: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Takes a field's value, if the field is present.
    pub(super) fn take(&mut self, name: &'static str) -> Option<Value> {
        self.known.push(name);
        self.values.remove(name)
    }

    /// Takes a required text that `read` accepts.
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

    /// Takes a text that `read` accepts; the field may be absent.
    pub(super) fn optional_text<T>(
        &mut self,
        name: &'static str,
        accepted: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.take(name)?;
        self.read_text(name, accepted, &value, read)
    }

    /// Takes a required text that its type parses.
    pub(super) fn parsed<T: FromStr>(&mut self, name: &'static str, accepted: &str) -> Option<T> {
        self.text(name, accepted, |text| text.parse().ok())
    }

    /// Takes a secret text; its value is never reported.
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
            self.refuse_shown(name, "(hidden)".to_owned(), accepted);
        }
        read_value
    }

    /// Takes a number in `range`, or `default` if the field is absent.
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
        self.refuse_shown(name, value.to_string(), &accepted);
        default
    }

    /// Reports that the value of field `name` is not accepted.
    pub(super) fn refuse_shown(&mut self, name: &'static str, value: String, accepted: &str) {
        self.faults.push(FieldFault::Refused {
            field: self.full_name(name),
            value,
            accepted: accepted.to_owned(),
        });
    }

    /// Adds the faults of a nested object.
    pub(super) fn add_faults(&mut self, faults: Vec<FieldFault>) {
        self.faults.extend(faults);
    }

    /// Returns all faults, with one for each field that was not taken.
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
            self.refuse_shown(name, value.to_string(), accepted);
        }
        read_value
    }

    fn full_name(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }
}
