//! Structural comparison of configurations.

use std::collections::BTreeMap;
use std::fmt;

use bramley_core::configuration::DeploymentConfiguration;
use serde_json::Value;

/// A value that differs between two configurations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValueDifference {
    /// Path of the value. Array elements with a `name` are identified by it, as in `teams[booking]`.
    pub path: String,
    /// Old value; `None` if the value was added.
    pub before: Option<Value>,
    /// New value; `None` if the value was removed.
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

/// Returns the differences between two configurations, ordered by path.
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

fn compare_values(
    path: &str,
    before: &Value,
    after: &Value,
    differences: &mut Vec<ValueDifference>,
) {
    if before == after {
        return;
    }
    match (child_values(before), child_values(after)) {
        (Some(before), Some(after)) => compare_children(path, &before, &after, differences),
        _ => differences.push(ValueDifference {
            path: String::from(path),
            before: Some(before.clone()),
            after: Some(after.clone()),
        }),
    }
}

fn compare_children(
    path: &str,
    before: &BTreeMap<String, &Value>,
    after: &BTreeMap<String, &Value>,
    differences: &mut Vec<ValueDifference>,
) {
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let child_path = join_path(path, name);
        match (before.get(name), after.get(name)) {
            (Some(before), Some(after)) => compare_values(&child_path, before, after, differences),
            (before, after) => differences.push(ValueDifference {
                path: child_path,
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

/// Returns the fields of an object, or the elements of an array if all of them have a name.
///
/// Array elements are keyed as `[name]`. Returns `None` for any other value.
fn child_values(value: &Value) -> Option<BTreeMap<String, &Value>> {
    match value {
        Value::Object(fields) => {
            let children = fields.iter().map(|(name, field)| (name.clone(), field));
            Some(children.collect())
        }
        Value::Array(elements) => {
            let mut children = BTreeMap::new();
            for element in elements {
                let name = element.get("name")?.as_str()?;
                children.insert(format!("[{name}]"), element);
            }
            Some(children)
        }
        _ => None,
    }
}
