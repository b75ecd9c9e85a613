//! Leader election: which process controls the workers of its failure domain.

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
        cpu_milli: SMALL,
    }
}

fn large_view() -> ClaimView {
    ClaimView {
        cpu_milli: LARGE,
        ..view_of(OTHER, "10.0.0.2:7000")
    }
}

const CONNECTED: ContactView = ContactView {
    holder_answers: false,
    holder_gives_way: false,
    holder_refuses_connections: false,
    is_connected_to_others: true,
    knows_others: true,
    has_successor: true,
};

fn held_claim() -> Claim {
    let mut claim = make_claim(LARGE);
    claim.claim_read(None, at(0));
    assert_eq!(
        claim.tick(CONNECTED, false, at(0)),
        [ClaimAction::Write {
            expected_revision: 0
        }]
    );
    assert!(claim.claim_written(ClaimGrant { token: 9, lease: 3 }, at(5)));
    let own = ClaimView {
        revision: 9,
        ..view_of(OWN, "10.0.0.1:7000")
    };
    claim.claim_read(Some(own), at(6));
    claim
}

#[test]
fn a_large_host_claims_a_vacant_domain_at_once_and_a_small_one_later() {
    let mut large = make_claim(LARGE);
    large.claim_read(None, at(0));
    assert_eq!(large.tick(CONNECTED, false, at(0)).len(), 1);
    let mut small = make_claim(SMALL);
    small.claim_read(None, at(0));
    assert!(small.tick(CONNECTED, false, at(0)).is_empty());
    assert_eq!(small.tick(CONNECTED, false, at(200)).len(), 1);
}

/// Pattern: all hosts return after a loss of power, and all claims have expired. A host must not
/// wait for a connection to others, because no process accepts one before there are leaders.
#[test]
fn the_first_host_after_a_loss_of_power_claims_without_a_connection() {
    let alone = ContactView {
        is_connected_to_others: false,
        knows_others: false,
        has_successor: false,
        ..CONNECTED
    };
    let mut large = make_claim(LARGE);
    large.claim_read(None, at(0));
    assert_eq!(large.tick(alone, false, at(0)).len(), 1);
    let cut_off = ContactView {
        knows_others: true,
        ..alone
    };
    let mut isolated = make_claim(LARGE);
    isolated.claim_read(None, at(0));
    assert!(isolated.tick(cut_off, false, at(0)).is_empty());
}

#[test]
fn no_claim_is_written_before_the_store_was_read() {
    let mut claim = make_claim(LARGE);
    assert!(claim.tick(CONNECTED, false, at(0)).is_empty());
}

/// The claim's lease expired while the store was down, and its holder is still working. Another
/// host must not claim until the holder asks for it.
#[test]
fn a_lapsed_claim_of_a_working_holder_is_left_to_it() {
    let mut claim = make_claim(LARGE);
    claim.claim_read(None, at(0));
    let contacts = ContactView {
        holder_answers: true,
        ..CONNECTED
    };
    assert!(claim.tick(contacts, false, at(3_000)).is_empty());
    let gives_way = ContactView {
        holder_gives_way: true,
        ..contacts
    };
    claim.store_answered(at(3_000));
    assert_eq!(claim.tick(gives_way, false, at(3_001)).len(), 1);
}

#[test]
fn a_claim_of_a_host_whose_process_is_gone_is_replaced_before_its_lease_ends() {
    let mut claim = make_claim(LARGE);
    claim.claim_read(Some(large_view()), at(0));
    assert!(claim.tick(CONNECTED, false, at(10)).is_empty());
    let refuses = ContactView {
        holder_refuses_connections: true,
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
    claim.claim_read(Some(view_of(OTHER, "10.0.0.1:7000")), at(0));
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
    claim.lease_renewed(3, false, at(705));
    assert_eq!(claim.tick(CONNECTED, true, at(1_300)), renewal);
}

/// The leader's host is partitioned from all other hosts, which need a new leader. The host must
/// release its claim but keep working until another one has claimed.
#[test]
fn an_isolated_host_leaves_its_claim_to_others_and_works_on_until_one_has_it() {
    let mut claim = held_claim();
    assert!(claim.tick(CONNECTED, true, at(100)).is_empty());
    let alone = ContactView {
        is_connected_to_others: false,
        ..CONNECTED
    };
    claim.store_answered(at(1_200));
    let released = [ClaimAction::Release { lease: 3 }];
    assert_eq!(claim.tick(alone, true, at(1_300)), released);
    claim.claim_read(None, at(1_310));
    assert!(claim.tick(alone, true, at(2_200)).is_empty());
    let mut taken = claim;
    taken.claim_read(Some(view_of(OTHER, "10.0.0.2:7000")), at(2_210));
    let actions = taken.tick(alone, true, at(2_220));
    assert!(actions.contains(&ClaimAction::StepDown {
        cause: "claimed_elsewhere"
    }));
}

/// A failure domain is partitioned while the store is down, and its other hosts have just restarted
/// and know no pool. No other host could serve the domain, so the leader must not step down.
#[test]
fn a_host_that_reaches_neither_store_nor_others_keeps_command() {
    let mut claim = held_claim();
    assert!(claim.tick(CONNECTED, true, at(100)).is_empty());
    let alone = ContactView {
        is_connected_to_others: false,
        ..CONNECTED
    };
    for millis in (1_300..8_000).step_by(25) {
        let actions = claim.tick(alone, true, at(millis));
        let keeps = actions
            .iter()
            .all(|action| matches!(action, ClaimAction::Renew { .. }));
        assert!(keeps, "{millis} ms: {actions:?}");
    }
}

/// The leader is isolated, and another host reaches the store and could serve its callers. The
/// claim must move to that host.
#[test]
fn the_claim_of_an_isolated_host_passes_to_one_that_is_not() {
    let mut domain = SimulatedDomain::new(&[SMALL, SMALL]);
    domain.run_until(1_000);
    let isolated = domain.winners[0];
    domain.isolated = Some(isolated);
    domain.run_until(4_000);
    assert_eq!(domain.winners, [isolated, 1 - isolated]);
    assert!(!domain.hosts[isolated].is_leader);
}

/// The only host of a failure domain is partitioned together with it. No other host could control
/// the workers, so it must not step down.
#[test]
fn the_only_host_of_a_domain_keeps_command_when_it_is_cut_off() {
    let mut claim = held_claim();
    let known = ContactView {
        has_successor: false,
        ..CONNECTED
    };
    assert!(claim.tick(known, true, at(100)).is_empty());
    let alone = ContactView {
        is_connected_to_others: false,
        ..known
    };
    let actions = claim.tick(alone, true, at(1_300));
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, ClaimAction::StepDown { .. })),
        "{actions:?}"
    );
}

#[test]
fn a_claim_by_another_process_ends_command() {
    let mut claim = held_claim();
    let successor = ClaimView {
        revision: 12,
        ..view_of(OTHER, "10.0.0.2:7000")
    };
    claim.claim_read(Some(successor), at(50));
    let actions = claim.tick(CONNECTED, true, at(60));
    assert!(actions.contains(&ClaimAction::StepDown {
        cause: "claimed_elsewhere"
    }));
}

#[test]
fn a_stopping_process_keeps_its_claim_for_a_while_then_releases_it_and_makes_none() {
    let mut claim = held_claim();
    claim.stop(at(100));
    let released = [ClaimAction::Release { lease: 3 }];
    let kept = claim.tick(CONNECTED, true, at(3_050));
    assert_eq!(kept, [ClaimAction::Renew { lease: 3 }]);
    claim.lease_renewed(3, false, at(3_055));
    assert_eq!(claim.tick(CONNECTED, true, at(3_100)), released);
    claim.claim_read(None, at(3_110));
    assert!(claim.tick(CONNECTED, true, at(5_000)).is_empty());
}

/// On a planned stop of the holder, hosts of at least its size take over at once, smaller ones only
/// after it has released the claim.
#[test]
fn a_claim_that_its_holder_leaves_goes_to_a_host_of_the_same_size() {
    let leaving = ContactView {
        holder_answers: true,
        holder_gives_way: true,
        ..CONNECTED
    };
    let written_over = [ClaimAction::Write {
        expected_revision: 5,
    }];
    let mut large = make_claim(LARGE);
    large.claim_read(Some(large_view()), at(0));
    assert_eq!(large.tick(leaving, false, at(10)), written_over);
    let mut small = make_claim(SMALL);
    small.claim_read(Some(large_view()), at(0));
    assert!(small.tick(leaving, false, at(1_000)).is_empty());
    let mut equal = make_claim(SMALL);
    equal.claim_read(Some(view_of(OTHER, "10.0.0.2:7000")), at(0));
    assert_eq!(equal.tick(leaving, false, at(10)), written_over);
}

/// All hosts of a domain have the same size, which is below that of a large host. They must not
/// wait for larger hosts that do not exist.
#[test]
fn hosts_of_one_size_do_not_wait_for_larger_ones() {
    let mut claim = make_claim(SMALL);
    claim.claim_read(Some(view_of(OTHER, "10.0.0.2:7000")), at(0));
    claim.claim_read(None, at(100));
    assert_eq!(claim.tick(CONNECTED, false, at(110)).len(), 1);
}

#[test]
fn a_process_that_does_not_reach_the_store_never_claims() {
    let mut claim = make_claim(LARGE);
    claim.claim_read(None, at(0));
    let later = at(0).after(Duration::from_secs(10));
    assert!(claim.tick(CONNECTED, false, later).is_empty());
}

/// The holder stops after its claim had expired. A small host that has seen the vacancy for a long
/// time must still wait from the moment at which it may claim, so that larger hosts claim first.
#[test]
fn a_small_host_waits_from_the_moment_at_which_it_may_claim() {
    let mut small = make_claim(SMALL);
    small.claim_read(None, at(0));
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

/// A small host became leader while all large hosts were down. A large host must take over, but
/// another small one or a stopping one must not.
#[test]
fn a_large_host_takes_the_claim_over_from_a_small_one() {
    let small = view_of(OTHER, "10.0.0.2:7000");
    let contacts = ContactView {
        holder_answers: true,
        ..CONNECTED
    };
    let mut large = make_claim(LARGE);
    large.claim_read(Some(small.clone()), at(0));
    let written_over = [ClaimAction::Write {
        expected_revision: 5,
    }];
    assert_eq!(large.tick(contacts, false, at(10)), written_over);
    let mut other_small = make_claim(SMALL);
    other_small.claim_read(Some(small.clone()), at(0));
    assert!(other_small.tick(contacts, false, at(1_000)).is_empty());
    let mut stopping = make_claim(LARGE);
    stopping.stop(at(0));
    stopping.claim_read(Some(small), at(0));
    assert!(stopping.tick(contacts, false, at(1_000)).is_empty());
}

/// Interval between ticks of the simulated hosts.
const TICK_INTERVAL: u64 = 25;

/// A host of a simulated failure domain.
struct SimulatedHost {
    claim: Claim,
    address: String,
    incarnation: u64,
    cpu_milli: u32,
    is_leader: bool,
    stopping: bool,
}

impl SimulatedHost {
    fn new(cpu_milli: u32, incarnation: u64) -> Self {
        let address = format!("10.0.0.{incarnation}:7000");
        let settings = ClaimSettings::default();
        Self {
            claim: Claim::new(settings, incarnation, address.as_str(), cpu_milli),
            address,
            incarnation,
            cpu_milli,
            is_leader: false,
            stopping: false,
        }
    }
}

/// Connected hosts of one failure domain that compete for the claim's key in a simulated store.
struct SimulatedDomain {
    hosts: Vec<SimulatedHost>,
    /// The stored claim and its lease.
    key: Option<(ClaimView, u64)>,
    revision: u64,
    now: u64,
    /// Indices of the hosts that have won the claim, in order.
    winners: Vec<usize>,
    /// Index of the host that reaches the store but no other host.
    isolated: Option<usize>,
}

impl SimulatedDomain {
    fn new(sizes: &[u32]) -> Self {
        let hosts = sizes.iter().zip(1_u64..);
        let hosts =
            hosts.map(|(cpu_milli, incarnation)| SimulatedHost::new(*cpu_milli, incarnation));
        Self {
            hosts: hosts.collect(),
            key: None,
            revision: 1,
            now: 0,
            winners: Vec::new(),
            isolated: None,
        }
    }

    fn stop(&mut self, index: usize) {
        self.hosts[index].stopping = true;
        self.hosts[index].claim.stop(at(self.now));
    }

    fn release(&mut self, lease: u64) {
        if self
            .key
            .as_ref()
            .is_some_and(|(_, held_by)| *held_by == lease)
        {
            self.key = None;
        }
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += TICK_INTERVAL;
            for index in 0..self.hosts.len() {
                self.run_host(index);
            }
        }
    }

    fn run_host(&mut self, index: usize) {
        let now = at(self.now);
        // Relays connect to the holder of the claim, or stay with the last leader if there is none.
        let claimed_by = self.key.as_ref().map(|(view, _)| view.incarnation);
        let holder = self.hosts.iter().find(|host| match claimed_by {
            Some(incarnation) => host.incarnation == incarnation,
            None => host.is_leader,
        });
        let contacts = ContactView {
            holder_answers: self.isolated.is_none()
                && holder.is_some_and(|host| host.incarnation != self.hosts[index].incarnation),
            holder_gives_way: holder.is_some_and(|host| host.stopping),
            is_connected_to_others: self.isolated != Some(index),
            ..CONNECTED
        };
        let view = self.key.as_ref().map(|(view, _)| view.clone());
        let host = &mut self.hosts[index];
        host.claim.claim_read(view, now);
        for action in host.claim.tick(contacts, host.is_leader, now) {
            self.run_action(index, &action);
        }
    }

    fn run_action(&mut self, index: usize, action: &ClaimAction) {
        let now = at(self.now);
        match action {
            ClaimAction::Write { expected_revision } => self.write(index, *expected_revision),
            ClaimAction::Renew { lease } => {
                self.hosts[index].claim.lease_renewed(*lease, false, now);
            }
            ClaimAction::Release { lease } => self.release(*lease),
            ClaimAction::StepDown { .. } => self.hosts[index].is_leader = false,
        }
    }

    fn write(&mut self, index: usize, expected_revision: u64) {
        let now = at(self.now);
        let current_revision = self.key.as_ref().map_or(0, |(view, _)| view.revision);
        let host = &mut self.hosts[index];
        if current_revision != expected_revision {
            host.claim.write_failed(now);
            return;
        }
        self.revision += 1;
        let view = ClaimView {
            incarnation: host.incarnation,
            address: host.address.clone(),
            revision: self.revision,
            cpu_milli: host.cpu_milli,
        };
        let grant = ClaimGrant {
            token: self.revision,
            lease: self.revision,
        };
        self.key = Some((view, grant.lease));
        host.is_leader = host.claim.claim_written(grant, now);
        self.winners.push(index);
    }
}

/// The large hosts of a domain are stopped one after the other. While they still serve their
/// callers, leadership must move only once and not circulate among the small hosts.
#[test]
fn command_stays_with_one_small_host_while_large_ones_stop() {
    let mut domain = SimulatedDomain::new(&[LARGE, LARGE, SMALL, SMALL, SMALL, SMALL]);
    domain.run_until(1_000);
    assert_eq!(domain.winners.len(), 1, "{:?}", domain.winners);
    domain.stop(1 - domain.winners[0]);
    domain.stop(domain.winners[0]);
    domain.run_until(5_000);
    assert_eq!(domain.winners.len(), 2, "{:?}", domain.winners);
}

/// Large hosts restart one after the other while a small host holds the claim. The first of them
/// must take over and stay leader when the second one starts.
#[test]
fn a_large_host_that_starts_takes_command_and_keeps_it() {
    let mut domain = SimulatedDomain::new(&[SMALL, SMALL, LARGE, LARGE]);
    domain.stop(2);
    domain.stop(3);
    domain.run_until(1_000);
    assert_eq!(domain.winners.len(), 1, "{:?}", domain.winners);
    domain.hosts[3] = SimulatedHost::new(LARGE, 9);
    domain.run_until(3_000);
    domain.hosts[2] = SimulatedHost::new(LARGE, 10);
    domain.run_until(5_000);
    assert_eq!(domain.winners[1..], [3], "{:?}", domain.winners);
    let leaders = domain.hosts.iter().filter(|host| host.is_leader).count();
    assert_eq!(leaders, 1);
}

/// The second of two large hosts is stopped before the first has restarted. It must stay leader
/// until the first one is back, rather than hand over to a small host.
#[test]
fn a_large_host_that_stops_keeps_command_until_another_large_one_is_back() {
    let mut domain = SimulatedDomain::new(&[LARGE, LARGE, SMALL, SMALL]);
    domain.run_until(1_000);
    let first = domain.winners[0];
    domain.stop(1 - first);
    domain.run_until(1_800);
    domain.stop(first);
    domain.run_until(4_000);
    domain.hosts[1 - first] = SimulatedHost::new(LARGE, 9);
    domain.run_until(6_000);
    assert_eq!(domain.winners, [first, 1 - first]);
}

/// Guards against a failure domain without a leader for as long as an unreadable value of another writer
/// stands in its claim: a write that expects no key at all never succeeds.
#[test]
fn an_unreadable_claim_is_overwritten_at_its_revision() {
    let mut standby = make_claim(SMALL);
    standby.claim_read(Some(ClaimView::unreadable(31)), at(0));
    let write = ClaimAction::Write {
        expected_revision: 31,
    };
    let written = standby.tick(CONNECTED, false, at(0));
    assert_eq!(written, std::slice::from_ref(&write));
    let mut leader = held_claim();
    leader.claim_read(Some(ClaimView::unreadable(31)), at(50));
    let mut actions = leader.tick(CONNECTED, true, at(75));
    actions.extend(leader.tick(CONNECTED, true, at(100)));
    assert_eq!(actions, [write], "the leader does not step down");
}

/// Guards against two leaders of one domain until the store has answered a write that is bound to fail:
/// the claim was overwritten by another writer, and another host was faster in writing it anew.
#[test]
fn a_leader_steps_down_while_its_own_write_is_in_flight() {
    let mut claim = held_claim();
    claim.claim_read(Some(ClaimView::unreadable(10)), at(100));
    let mut actions = claim.tick(CONNECTED, true, at(100));
    actions.extend(claim.tick(CONNECTED, true, at(125)));
    assert_eq!(
        actions,
        [ClaimAction::Write {
            expected_revision: 10
        }]
    );
    let successor = ClaimView {
        revision: 11,
        ..large_view()
    };
    claim.claim_read(Some(successor), at(130));
    assert_eq!(
        claim.tick(CONNECTED, true, at(130)),
        [ClaimAction::StepDown {
            cause: "claimed_elsewhere"
        }]
    );
    assert!(claim.tick(CONNECTED, false, at(155)).is_empty());
    claim.write_failed(at(400));
    assert!(claim.tick(CONNECTED, false, at(400)).is_empty());
}

/// Guards against a process that takes the response to its own write, which is late, for news: a larger
/// host has overwritten the claim since, and its claim was read from the watch.
#[test]
fn a_late_response_to_a_write_does_not_hide_a_later_claim() {
    let mut claim = make_claim(SMALL);
    claim.claim_read(None, at(0));
    assert!(claim.tick(CONNECTED, false, at(0)).is_empty());
    assert_eq!(claim.tick(CONNECTED, false, at(200)).len(), 1);
    let successor = ClaimView {
        revision: 12,
        ..large_view()
    };
    claim.claim_read(Some(successor.clone()), at(210));
    let grant = ClaimGrant {
        token: 11,
        lease: 3,
    };
    assert!(!claim.claim_written(grant, at(220)));
    let own = ClaimView {
        revision: 11,
        ..view_of(OWN, "10.0.0.1:7000")
    };
    claim.claim_read(Some(own), at(220));
    assert_eq!(claim.grant(), None);
    let contacts = ContactView {
        holder_answers: true,
        ..CONNECTED
    };
    assert!(claim.tick(contacts, false, at(240)).is_empty());
    // The later claim is still the known one: it is overwritten once its holder is gone.
    let gone = ContactView {
        holder_refuses_connections: true,
        ..CONNECTED
    };
    assert_eq!(
        claim.tick(gone, false, at(900)),
        [ClaimAction::Write {
            expected_revision: 12
        }]
    );
}

/// Guards against a sound claim that is dropped because the lease of an earlier one is found to have
/// ended: the store answers its renewal late.
#[test]
fn a_late_answer_to_a_renewal_does_not_end_a_later_claim() {
    let mut claim = held_claim();
    assert_eq!(
        claim.tick(CONNECTED, true, at(600)),
        [ClaimAction::Renew { lease: 3 }]
    );
    claim.claim_read(Some(ClaimView::unreadable(10)), at(610));
    assert!(claim.tick(CONNECTED, true, at(610)).is_empty());
    assert_eq!(claim.tick(CONNECTED, true, at(635)).len(), 1);
    let grant = ClaimGrant {
        token: 11,
        lease: 4,
    };
    assert!(claim.claim_written(grant, at(640)));
    claim.lease_renewed(3, true, at(650));
    assert_eq!(claim.grant(), Some(grant));
}
