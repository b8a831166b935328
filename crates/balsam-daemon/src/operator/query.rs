//! Parsing of query strings.

use balsam_wire::operator::ErrorResponse;

/// The fields of a query string; taking a field removes it.
#[derive(Debug)]
pub(super) struct Query {
    fields: Vec<(String, String)>,
}

impl Query {
    /// Parses a query string, whose names and values may be percent-encoded.
    pub(super) fn parse(text: Option<&str>) -> Result<Self, ErrorResponse> {
        let parts = text.unwrap_or_default().split('&');
        let mut fields = Vec::new();
        for part in parts.filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            fields.push((decode(name)?, decode(value)?));
        }
        Ok(Self { fields })
    }

    /// Takes an optional field.
    pub(super) fn take(&mut self, name: &str) -> Option<String> {
        let index = self.fields.iter().position(|field| field.0 == name)?;
        Some(self.fields.remove(index).1)
    }

    /// Takes a required field.
    pub(super) fn require(&mut self, name: &str, accepted: &str) -> Result<String, ErrorResponse> {
        self.take(name)
            .ok_or_else(|| ErrorResponse::bad_field(name, "(absent)", accepted))
    }

    /// Returns an error if a field is left that no endpoint has taken.
    ///
    /// It must be called before the endpoint changes anything.
    pub(super) fn expect_empty(&self) -> Result<(), ErrorResponse> {
        match self.fields.first() {
            None => Ok(()),
            Some((name, value)) => Err(ErrorResponse::bad_field(
                name.as_str(),
                value.as_str(),
                "only the fields of this path, each once",
            )),
        }
    }
}

/// Decodes percent-encoded text; `+` is not decoded to a space.
pub(super) fn decode(text: &str) -> Result<String, ErrorResponse> {
    let invalid = || ErrorResponse::bad_field("query", text, "UTF-8 text with %XX sequences");
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        if first != b'%' {
            bytes.push(first);
            rest = after;
            continue;
        }
        let (digits, after) = after.split_at_checked(2).ok_or_else(invalid)?;
        let digits = std::str::from_utf8(digits).map_err(|_| invalid())?;
        bytes.push(u8::from_str_radix(digits, 16).map_err(|_| invalid())?);
        rest = after;
    }
    String::from_utf8(bytes).map_err(|_| invalid())
}
