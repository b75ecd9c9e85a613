//! Property tests of tickets: encoding, parsing and authentication.

use bramley_core::errors::ErrorKind;
use bramley_core::names::{DomainName, HostName, TeamName};
use bramley_core::ticket::{JobTicket, TicketIssuer};
use bramley_core::units::{IncarnationId, UnixTime};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

fn issuer(incarnation: u128, key: u8) -> TicketIssuer {
    TicketIssuer::new(
        DomainName::from("freising"),
        HostName::from("entry-1"),
        IncarnationId::from_bits(incarnation),
        [key; 32],
    )
}

fn proptest_settings() -> Config {
    Config {
        cases: 512,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(proptest_settings())]

    #[test]
    fn issued_tickets_are_read_back(
        incarnation in any::<u128>(),
        expiry in any::<u64>(),
        team in "[a-z0-9_-]{1,63}",
    ) {
        let issuer = issuer(incarnation, 1);
        let ticket = issuer.issue(TeamName::from(team.as_str()), UnixTime::from_micros(expiry));
        let parsed = JobTicket::parse(&ticket.to_string()).map_err(|error| error.kind);
        prop_assert_eq!(parsed.as_ref(), Ok(&ticket));
        prop_assert_eq!(issuer.check(&ticket), Ok(()));
    }

    #[test]
    fn any_text_is_read_without_a_panic_and_has_one_writing(text in "\\PC{0,200}") {
        if let Ok(ticket) = JobTicket::parse(&text) {
            prop_assert_eq!(ticket.to_string(), text);
        }
    }

    #[test]
    fn changed_tickets_are_refused(position in any::<usize>(), byte in "[a-z0-9.]") {
        let issuer = issuer(7, 1);
        let expiry = UnixTime::from_millis(1_000_000);
        let text = issuer.issue(TeamName::from("harbour"), expiry).to_string();
        let position = position % text.len();
        let mut changed = text.clone();
        changed.replace_range(position..=position, &byte);
        if changed != text {
            let refused = JobTicket::parse(&changed).and_then(|ticket| issuer.check(&ticket));
            prop_assert_eq!(refused.map_err(|error| error.kind), Err(ErrorKind::InvalidTicket));
        }
    }

    #[test]
    fn tickets_of_another_key_are_refused(key in 2_u8..) {
        let expiry = UnixTime::from_millis(1_000_000);
        let ticket = issuer(7, 1).issue(TeamName::from("harbour"), expiry);
        prop_assert!(issuer(7, key).check(&ticket).is_err());
    }
}
