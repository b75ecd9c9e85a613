//! Checks of the tuning file.

use bramley_dock::settings::TuningFile;
use bramley_pool::mechanism::Mechanism;
use bramley_settings::load_text;

#[test]
fn an_unknown_mechanism_is_refused_with_its_place_and_the_known_names() {
    let text = "{\n  \"disabled_mechanisms\": [\"stealing\", \"steeling\"]\n}";
    let error = load_text::<TuningFile>("dock.jsonc", text).expect_err("the name is unknown");
    insta::assert_snapshot!(error.to_string());
}

#[test]
fn disabled_mechanisms_are_those_named() {
    let text = "{\"disabled_mechanisms\": [\"deferral\", \"late_offers\"]}";
    let tuning: TuningFile = load_text("dock.jsonc", text).expect("a valid file");
    let disabled = tuning.disabled();
    for mechanism in Mechanism::ALL {
        let is_named = matches!(mechanism, Mechanism::Deferral | Mechanism::LateOffers);
        assert_eq!(disabled.allows(mechanism), !is_named, "{mechanism}");
    }
}
