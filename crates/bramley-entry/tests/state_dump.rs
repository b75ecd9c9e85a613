//! Checks the structure of the state dump, which operators' tools depend on.

mod support;

use serde_json::{Map, Value};
use support::TestDeployment;

/// Replaces each value by the name of its type, and each list by the distinct shapes of its
/// elements.
fn shape_of(value: &Value) -> Value {
    match value {
        Value::Null => Value::from("null"),
        Value::Bool(_) => Value::from("boolean"),
        Value::Number(_) => Value::from("number"),
        Value::String(_) => Value::from("string"),
        Value::Array(values) => {
            let mut shapes = Vec::new();
            for shape in values.iter().map(shape_of) {
                if !shapes.contains(&shape) {
                    shapes.push(shape);
                }
            }
            Value::Array(shapes)
        }
        Value::Object(fields) => {
            let mut shapes = Map::new();
            for (name, field) in fields {
                shapes.insert(name.clone(), shape_of(field));
            }
            Value::Object(shapes)
        }
    }
}

#[tokio::test]
async fn the_shape_of_an_idle_dump_is_stable() {
    let deployment = TestDeployment::start("state_dump", &["north"], 1, 2).await;
    // The other host reports its idle slots in heartbeats.
    let state = deployment
        .wait_for_state(0, |state| {
            state["kernel"]["lenders"]
                .as_array()
                .is_some_and(|lenders| !lenders.is_empty())
        })
        .await;
    insta::assert_json_snapshot!(shape_of(&state));
}
