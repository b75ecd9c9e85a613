//! Compares configurations.

use std::collections::BTreeMap;
use std::fmt;

use bramley_core::configuration::DeploymentConfiguration;
use serde_json::Value;

/// One difference between two configurations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValueDifference {
    /// Place of the value; list entries that have a name are found by it, as in `teams[booking]`.
    pub path: String,
    /// Value before, unless it is new.
    pub before: Option<Value>,
    /// Value after, unless it was removed.
    pub after: Option<Value>,
}

impl fmt::Display for ValueDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Lists the differences between two configurations in the order of their paths.
#[must_use]
pub fn compare_documents(
    before: &DeploymentConfiguration,
    after: &DeploymentConfiguration,
) -> Vec<ValueDifference> {
    let before = serde_json::to_value(before).unwrap_or_default();
    let after = serde_json::to_value(after).unwrap_or_default();
    let mut differences = Vec::new();
    compare_values("", &before, &after, &mut differences);
    differences
}

fn compare_values(path: &str, before: &Value, after: &Value, found: &mut Vec<ValueDifference>) {
    if before == after {
        return;
    }
    match (name_parts(before), name_parts(after)) {
        (Some(before), Some(after)) => compare_parts(path, &before, &after, found),
        _ => found.push(ValueDifference {
            path: String::from(path),
            before: Some(before.clone()),
            after: Some(after.clone()),
        }),
    }
}

fn compare_parts(
    path: &str,
    before: &BTreeMap<String, &Value>,
    after: &BTreeMap<String, &Value>,
    found: &mut Vec<ValueDifference>,
) {
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let inner = join_path(path, name);
        match (before.get(name), after.get(name)) {
            (Some(before), Some(after)) => compare_values(&inner, before, after, found),
            (before, after) => found.push(ValueDifference {
                path: inner,
                before: before.map(|value| (*value).clone()),
                after: after.map(|value| (*value).clone()),
            }),
        }
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() || name.starts_with('[') {
        return format!("{path}{name}");
    }
    format!("{path}.{name}")
}

/// Returns the parts of an object, or of a list whose entries all have a name.
fn name_parts(value: &Value) -> Option<BTreeMap<String, &Value>> {
    match value {
        Value::Object(fields) => {
            let parts = fields.iter().map(|(name, field)| (name.clone(), field));
            Some(parts.collect())
        }
        Value::Array(elements) => {
            let mut parts = BTreeMap::new();
            for element in elements {
                let name = element.get("name")?.as_str()?;
                parts.insert(format!("[{name}]"), element);
            }
            Some(parts)
        }
        _ => None,
    }
}
