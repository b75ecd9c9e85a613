//! Removal of invalid values from a settings tree, so that the remaining values can be validated.

use std::collections::HashMap;

use serde_json::Value;

use crate::field_path::{FieldPath, FieldStep};

/// A settings tree from which invalid values are removed.
pub(crate) struct PrunedTree {
    pub(crate) value: Value,
    /// Original paths of the removed values.
    removed: Vec<FieldPath>,
    /// Original indices of the remaining list elements, by the original path of the list.
    kept_indices: HashMap<FieldPath, Vec<usize>>,
}

impl PrunedTree {
    pub(crate) fn new(value: Value) -> Self {
        Self {
            value,
            removed: Vec::new(),
            kept_indices: HashMap::new(),
        }
    }

    /// Returns the path that a value had before any value was removed.
    pub(crate) fn original_path(&self, path: &FieldPath) -> FieldPath {
        let mut original = FieldPath::default();
        for step in &path.0 {
            original = match step {
                FieldStep::Field(name) => original.field(name),
                FieldStep::Index(index) => {
                    let kept = self.kept_indices.get(&original);
                    let kept_index = kept.and_then(|indices| indices.get(*index));
                    original.index(kept_index.copied().unwrap_or(*index))
                }
            };
        }
        original
    }

    /// Returns whether the value at the original path, an ancestor or a descendant was removed.
    pub(crate) fn overlaps_removed(&self, original: &FieldPath) -> bool {
        self.removed
            .iter()
            .any(|removed| original.is_within(removed) || removed.is_within(original))
    }

    /// Removes the value at `path`. Returns whether there was one.
    pub(crate) fn remove(&mut self, path: &FieldPath) -> bool {
        let original = self.original_path(path);
        let Some((last, parents)) = path.0.split_last() else {
            return false;
        };
        let Some(parent) = find_mut(&mut self.value, parents) else {
            return false;
        };
        let is_removed = match (parent, last) {
            (Value::Object(fields), FieldStep::Field(name)) => fields.remove(name).is_some(),
            (Value::Array(elements), FieldStep::Index(index)) if *index < elements.len() => {
                let count = elements.len();
                elements.remove(*index);
                let list = FieldPath(original.0[..original.0.len() - 1].to_vec());
                let indices = self.kept_indices.entry(list);
                indices
                    .or_insert_with(|| (0..count).collect())
                    .remove(*index);
                true
            }
            _ => false,
        };
        if is_removed {
            self.removed.push(original);
        }
        is_removed
    }
}

/// Returns the value at the path `steps`.
fn find_mut<'a>(root: &'a mut Value, steps: &[FieldStep]) -> Option<&'a mut Value> {
    let mut value = root;
    for step in steps {
        value = match step {
            FieldStep::Field(name) => value.get_mut(name)?,
            FieldStep::Index(index) => value.get_mut(index)?,
        };
    }
    Some(value)
}
