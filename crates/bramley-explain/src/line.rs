//! Reads log lines.

use std::sync::Arc;

/// Field with which the program begins every line; what stands before it is the collector's.
const FIRST_FIELD: &str = "time_ms=";

/// A line of `key=value` fields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// Host that wrote the line.
    pub host: Arc<str>,
    /// Time of day of that host in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Name of the event.
    pub event: String,
    /// Remaining fields in their order.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Reads a line; none if it is not one of the program's.
    #[must_use]
    pub fn parse(host: &Arc<str>, text: &str) -> Option<Self> {
        let text = &text[text.find(FIRST_FIELD)?..];
        let mut fields = split_fields(text);
        let time_ms = take_field(&mut fields, "time_ms")?.parse().ok()?;
        let event = take_field(&mut fields, "event")?;
        take_field(&mut fields, "level");
        Some(Self {
            host: Arc::clone(host),
            time_ms,
            event,
            fields,
        })
    }

    /// Returns the value of a field.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(name, _)| name == key);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the value of a field that holds a number.
    #[must_use]
    pub fn number(&self, key: &str) -> Option<u64> {
        self.get(key)?.parse().ok()
    }

    /// Tells whether a field has a value.
    #[must_use]
    pub fn has(&self, key: &str, value: &str) -> bool {
        self.get(key) == Some(value)
    }
}

/// Splits a line into fields; values in quotation marks may hold spaces.
fn split_fields(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, remainder) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.push((String::from(key.trim()), String::from(value)));
        rest = remainder.trim_start();
    }
    fields
}

fn take_field(fields: &mut Vec<(String, String)>, key: &str) -> Option<String> {
    let position = fields.iter().position(|(name, _)| name == key)?;
    Some(fields.remove(position).1)
}
