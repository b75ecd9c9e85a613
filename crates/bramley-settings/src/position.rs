//! Lines and columns of values in a settings file.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;

use crate::field_path::{FieldPath, FieldStep};
use crate::validation::ValidationErrors;

/// Returns the byte offset of the value at `path`, or of its nearest existing ancestor.
pub(crate) fn find_offset(root: &Value<'_>, path: &FieldPath) -> usize {
    match find_property(root, path) {
        Ok(property) => property_offset(property),
        Err(value) => value.range().start,
    }
}

/// Returns the byte offset of the key of the field at `path`, or of its nearest existing ancestor.
pub(crate) fn find_key_offset(root: &Value<'_>, path: &FieldPath) -> usize {
    match find_property(root, path) {
        Ok(property) => property.range.start,
        Err(value) => value.range().start,
    }
}

/// Returns the field at `path`, or the deepest value reached if the path ends at no field.
fn find_property<'a, 'b>(
    root: &'b Value<'a>,
    path: &FieldPath,
) -> Result<&'b ObjectProp<'a>, &'b Value<'a>> {
    let mut value = root;
    for (depth, step) in path.0.iter().enumerate() {
        let is_last = depth + 1 == path.0.len();
        value = match (value, step) {
            (Value::Object(object), FieldStep::Field(name)) => match find_field(object, name) {
                Some(property) if is_last => return Ok(property),
                Some(property) => &property.value,
                None => break,
            },
            (Value::Array(array), FieldStep::Index(index)) => match array.elements.get(*index) {
                Some(element) => element,
                None => break,
            },
            _ => break,
        };
    }
    Err(value)
}

/// Returns whether the file contains a value at `path`, which may consist of field names only.
pub(crate) fn has_value(root: &Value<'_>, path: &FieldPath) -> bool {
    let mut value = root;
    for step in &path.0 {
        let FieldStep::Field(name) = step else {
            return false;
        };
        let Value::Object(object) = value else {
            return false;
        };
        let Some(property) = find_field(object, name) else {
            return false;
        };
        value = &property.value;
    }
    true
}

/// Reports every field that occurs more than once in an object, recursively.
pub(crate) fn report_duplicate_fields(
    value: &Value<'_>,
    path: &FieldPath,
    errors: &mut ValidationErrors,
) {
    match value {
        Value::Object(object) => report_duplicates_in_object(object, path, errors),
        Value::Array(array) => {
            for (index, element) in array.elements.iter().enumerate() {
                report_duplicate_fields(element, &path.index(index), errors);
            }
        }
        Value::StringLit(_)
        | Value::NumberLit(_)
        | Value::BooleanLit(_)
        | Value::NullKeyword(_) => {}
    }
}

fn report_duplicates_in_object(
    object: &Object<'_>,
    path: &FieldPath,
    errors: &mut ValidationErrors,
) {
    for (index, property) in object.properties.iter().enumerate() {
        let name = property.name.as_str();
        let field = path.field(name);
        let earlier = &object.properties[..index];
        if earlier.iter().any(|other| other.name.as_str() == name) {
            let problem = String::from("duplicate field");
            errors.push(
                field.clone(),
                problem,
                String::from("each field at most once"),
            );
            if let Some(error) = errors.errors.last_mut() {
                error.offset = Some(property.range.start);
            }
        }
        report_duplicate_fields(&property.value, &field, errors);
    }
}

fn find_field<'a, 'b>(object: &'b Object<'a>, name: &str) -> Option<&'b ObjectProp<'a>> {
    // If a field occurs more than once, the last occurrence takes effect.
    let mut properties = object.properties.iter().rev();
    properties.find(|property| property.name.as_str() == name)
}

/// Returns the offset of the key for an object or a list, and of the value otherwise.
fn property_offset(property: &ObjectProp<'_>) -> usize {
    match &property.value {
        Value::Object(_) | Value::Array(_) => property.range.start,
        value => value.range().start,
    }
}

/// Returns the line and the column in characters of a byte offset, both counted from 1.
pub(crate) fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let line_start = before.rfind('\n').map_or(0, |position| position + 1);
    let column = before[line_start..].chars().count() + 1;
    (line, column)
}
