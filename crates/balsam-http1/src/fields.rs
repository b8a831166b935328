//! Header fields, stored as slices of the received head without copying.

use bytes::Bytes;

/// Fields that apply to a single connection and must not be forwarded, in lower case.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a field applies only to a single connection and must not be forwarded.
pub fn is_hop_by_hop(name: &[u8]) -> bool {
    HOP_BY_HOP
        .iter()
        .any(|hop_by_hop| name.eq_ignore_ascii_case(hop_by_hop.as_bytes()))
}

/// One header field; values need not be UTF-8.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The name as received.
    pub name: Bytes,
    /// The value without surrounding whitespace.
    pub value: Bytes,
}

/// The header fields of a message, in the order received. Names are compared ignoring case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<Field>);

impl Fields {
    /// Creates fields from a list.
    pub const fn new(fields: Vec<Field>) -> Self {
        Self(fields)
    }

    /// Returns the first value of the field `name`.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        let is_named = |field: &&Field| field.name.eq_ignore_ascii_case(name.as_bytes());
        self.0.iter().find(is_named).map(|field| &field.value)
    }

    /// Returns the first value of the field `name`, if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns all values of the field `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let fields = self.0.iter();
        let named = fields.filter(move |field| field.name.eq_ignore_ascii_case(name.as_bytes()));
        named.map(|field| &field.value)
    }

    /// Iterates over the fields.
    pub fn iter(&self) -> impl Iterator<Item = &Field> {
        self.0.iter()
    }

    /// Returns whether the token list in the field `name` contains `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.tokens(name)
            .any(|found| found.eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Returns the tokens of the comma-separated list in the field `name`.
    fn tokens<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let values = self.all(name);
        values.flat_map(|value| value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii))
    }

    /// Returns the fields to forward: all except hop-by-hop fields, fields that `Connection` lists
    /// and `Content-Length`, which the encoder sets.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Field> {
        self.0.iter().filter(|field| {
            !is_hop_by_hop(&field.name)
                && !field.name.eq_ignore_ascii_case(b"content-length")
                && !self
                    .tokens("connection")
                    .any(|token| field.name.eq_ignore_ascii_case(token))
        })
    }

    /// Returns the `timeout` parameter of the `Keep-Alive` field in seconds, if present.
    pub fn keep_alive_s(&self) -> Option<u64> {
        let values = self.text("keep-alive")?;
        let timeout = values
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        timeout?.trim().parse().ok()
    }
}
