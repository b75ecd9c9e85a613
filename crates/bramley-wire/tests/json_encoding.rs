//! Checks the JSON encoding of the generated types.

use bramley_wire::caller::JobRequest;

#[test]
fn absent_fields_take_their_defaults_and_unknown_fields_are_refused() {
    let request: JobRequest = serde_json::from_str(r#"{"team":"booking"}"#).expect("valid");
    assert_eq!(request.team, "booking");
    assert!(request.tasks.is_empty());
    let error = serde_json::from_str::<JobRequest>(r#"{"taem":"booking"}"#).expect_err("misspelt");
    assert!(error.to_string().contains("taem"));
}
