//! Parses log lines.

use std::sync::Arc;

/// First field of every log line; anything before it was added by the log collector.
const FIRST_FIELD_PREFIX: &str = "time_ms=";

/// A log line that consists of `key=value` fields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// Host that wrote the line.
    pub host: Arc<str>,
    /// Wall-clock time of that host in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Name of the event.
    pub event: String,
    /// Remaining fields except `level`, in the order of the line.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line, or returns `None` if it lacks a valid `time_ms` or an `event` field.
    #[must_use]
    pub fn parse(host: &Arc<str>, text: &str) -> Option<Self> {
        let text = &text[text.find(FIRST_FIELD_PREFIX)?..];
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

    /// Returns the value of a field as an integer, or `None` if it is absent or not an integer.
    #[must_use]
    pub fn get_u64(&self, key: &str) -> Option<u64> {
        self.get(key)?.parse().ok()
    }

    /// Returns whether a field is present with the given value.
    #[must_use]
    pub fn field_is(&self, key: &str, value: &str) -> bool {
        self.get(key) == Some(value)
    }
}

/// Splits a line into fields. Quoted values may contain spaces.
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
