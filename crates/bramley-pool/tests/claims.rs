//! Which process commands the workers of its failure domain.

use std::time::Duration;

use bramley_core::units::UnixTime;
use bramley_pool::claim::{Claim, ClaimAction, ClaimGrant, ClaimView, ContactView};
use bramley_pool::settings::ClaimSettings;

const OWN: u64 = 7;
const OTHER: u64 = 8;
const LARGE: u32 = 500;
const SMALL: u32 = 120;

fn at(millis: u64) -> UnixTime {
    UnixTime::from_millis(1_000_000 + millis)
}

fn make_claim(cpu_milli: u32) -> Claim {
    Claim::new(ClaimSettings::default(), OWN, "10.0.0.1:7000", cpu_milli)
}

fn view_of(incarnation: u64, address: &str) -> ClaimView {
    ClaimView {
        incarnation,
        address: String::from(address),
        revision: 5,
    }
}

const CONNECTED: ContactView = ContactView {
    holder_answers: false,
    holder_gives_way: false,
    holder_refuses: false,
    reaches_others: true,
    reaches_large_host: false,
    has_successor: true,
};

fn held_claim() -> Claim {
    let mut claim = make_claim(LARGE);
    claim.viewed(None, at(0));
    assert_eq!(
        claim.tick(CONNECTED, false, at(0)),
        [ClaimAction::Write {
            expected_revision: 0
        }]
    );
    claim.written(ClaimGrant { token: 9, lease: 3 }, at(5));
    claim.viewed(Some(view_of(OWN, "10.0.0.1:7000")), at(6));
    claim
}

#[test]
fn a_large_host_claims_a_vacant_domain_at_once_and_a_small_one_later() {
    let mut large = make_claim(LARGE);
    large.viewed(None, at(0));
    assert_eq!(large.tick(CONNECTED, false, at(0)).len(), 1);
    let mut small = make_claim(SMALL);
    small.viewed(None, at(0));
    assert!(small.tick(CONNECTED, false, at(0)).is_empty());
    assert_eq!(small.tick(CONNECTED, false, at(200)).len(), 1);
}

#[test]
fn no_claim_is_written_before_the_store_was_read() {
    let mut claim = make_claim(LARGE);
    assert!(claim.tick(CONNECTED, false, at(0)).is_empty());
}

/// Pattern: the claim's lease ended while the store was away, and its holder still works.
#[test]
fn a_lapsed_claim_of_a_working_holder_is_left_to_it() {
    let mut claim = make_claim(LARGE);
    claim.viewed(None, at(0));
    let contacts = ContactView {
        holder_answers: true,
        ..CONNECTED
    };
    assert!(claim.tick(contacts, false, at(3_000)).is_empty());
    let lost = ContactView {
        holder_gives_way: true,
        ..contacts
    };
    claim.store_answered(at(3_000));
    assert_eq!(claim.tick(lost, false, at(3_001)).len(), 1);
}

#[test]
fn a_claim_of_a_host_whose_process_is_gone_is_replaced_before_its_lease_ends() {
    let mut claim = make_claim(LARGE);
    claim.viewed(Some(view_of(OTHER, "10.0.0.2:7000")), at(0));
    assert!(claim.tick(CONNECTED, false, at(10)).is_empty());
    let refuses = ContactView {
        holder_refuses: true,
        ..CONNECTED
    };
    let expected = [ClaimAction::Write {
        expected_revision: 5,
    }];
    assert_eq!(claim.tick(refuses, false, at(20)), expected);
}

#[test]
fn a_claim_of_an_earlier_process_at_the_same_address_is_replaced() {
    let mut claim = make_claim(LARGE);
    claim.viewed(Some(view_of(OTHER, "10.0.0.1:7000")), at(0));
    let expected = [ClaimAction::Write {
        expected_revision: 5,
    }];
    assert_eq!(claim.tick(CONNECTED, false, at(0)), expected);
}

#[test]
fn the_lease_is_renewed_in_time_and_only_once_at_a_time() {
    let mut claim = held_claim();
    assert!(claim.tick(CONNECTED, true, at(100)).is_empty());
    let renewal = [ClaimAction::Renew { lease: 3 }];
    assert_eq!(claim.tick(CONNECTED, true, at(600)), renewal);
    assert!(claim.tick(CONNECTED, true, at(700)).is_empty());
    claim.renewed(false, at(705));
    assert_eq!(claim.tick(CONNECTED, true, at(1_300)), renewal);
}

/// Pattern: the pool's host is cut off from all others, which wait for a new pool.
#[test]
fn an_isolated_host_gives_command_up() {
    let mut claim = held_claim();
    assert!(claim.tick(CONNECTED, true, at(100)).is_empty());
    let alone = ContactView {
        reaches_others: false,
        ..CONNECTED
    };
    let actions = claim.tick(alone, true, at(1_300));
    assert_eq!(
        actions,
        [
            ClaimAction::GiveUp { cause: "isolated" },
            ClaimAction::Release { lease: 3 },
        ]
    );
}

/// Pattern: the only host of a failure domain is cut off with it; nobody else could command its
/// workers.
#[test]
fn the_only_host_of_a_domain_keeps_command_when_it_is_cut_off() {
    let mut claim = held_claim();
    let known = ContactView {
        has_successor: false,
        ..CONNECTED
    };
    assert!(claim.tick(known, true, at(100)).is_empty());
    let alone = ContactView {
        reaches_others: false,
        ..known
    };
    let actions = claim.tick(alone, true, at(1_300));
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, ClaimAction::GiveUp { .. })),
        "{actions:?}"
    );
}

#[test]
fn a_claim_by_another_process_ends_command() {
    let mut claim = held_claim();
    claim.viewed(Some(view_of(OTHER, "10.0.0.2:7000")), at(50));
    let actions = claim.tick(CONNECTED, true, at(60));
    assert!(actions.contains(&ClaimAction::GiveUp {
        cause: "claimed_elsewhere"
    }));
}

#[test]
fn a_stopping_process_releases_its_claim_and_makes_none() {
    let mut claim = held_claim();
    assert_eq!(claim.stop(), Some(ClaimAction::Release { lease: 3 }));
    claim.viewed(None, at(100));
    assert!(claim.tick(CONNECTED, true, at(2_000)).is_empty());
}

#[test]
fn a_process_that_does_not_reach_the_store_never_claims() {
    let mut claim = make_claim(LARGE);
    claim.viewed(None, at(0));
    let later = at(0).after(Duration::from_secs(10));
    assert!(claim.tick(CONNECTED, false, later).is_empty());
}

/// Pattern: the holder stops while all hosts of the domain wait for it; a small host that saw the
/// vacancy long before must not be faster than a large one.
#[test]
fn a_small_host_waits_from_the_moment_at_which_it_may_claim() {
    let mut small = make_claim(SMALL);
    small.viewed(None, at(0));
    let answering = ContactView {
        holder_answers: true,
        ..CONNECTED
    };
    assert!(small.tick(answering, false, at(2_000)).is_empty());
    let giving_way = ContactView {
        holder_gives_way: true,
        ..answering
    };
    small.store_answered(at(2_000));
    assert!(small.tick(giving_way, false, at(2_010)).is_empty());
    assert_eq!(small.tick(giving_way, false, at(2_200)).len(), 1);
}

/// Pattern: all large hosts were gone for a while, and a small one took command.
#[test]
fn a_small_host_gives_its_claim_to_a_large_one() {
    let mut claim = make_claim(SMALL);
    claim.viewed(None, at(0));
    assert!(claim.tick(CONNECTED, false, at(0)).is_empty());
    assert_eq!(claim.tick(CONNECTED, false, at(200)).len(), 1);
    claim.written(ClaimGrant { token: 9, lease: 3 }, at(205));
    claim.viewed(Some(view_of(OWN, "10.0.0.1:7000")), at(206));
    assert!(claim.tick(CONNECTED, true, at(300)).is_empty());
    let with_large = ContactView {
        reaches_large_host: true,
        ..CONNECTED
    };
    let released = [ClaimAction::Release { lease: 3 }];
    assert_eq!(claim.tick(with_large, true, at(400)), released);
    assert!(claim.is_yielding(at(500)));
    claim.viewed(None, at(410));
    assert!(claim.tick(with_large, true, at(500)).is_empty());
    claim.store_answered(at(3_900));
    assert_eq!(
        claim.tick(with_large, true, at(3_900)).len(),
        1,
        "nobody else claimed"
    );
}
