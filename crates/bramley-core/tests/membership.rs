//! Unit tests of the membership kernel, driven directly without a network.

use std::net::SocketAddr;
use std::time::Duration;

use bramley_core::membership::{
    HeartbeatMessage, MemberLoad, MemberRecord, MemberState, MembershipAction, MembershipKernel,
    MembershipSettings, WorkerNews,
};
use bramley_core::names::{DomainName, HostName, WorkerName};
use bramley_core::units::{IncarnationId, UnixTime};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const START: UnixTime = UnixTime::from_millis(1_000_000);

fn record(host: &str, incarnation: u8, started_ms: u64) -> MemberRecord {
    MemberRecord {
        host: HostName::from(host),
        domain: DomainName::from("freising"),
        incarnation: IncarnationId::from_bits(u128::from(incarnation)),
        started: UnixTime::from_millis(started_ms),
        peer_address: ([10, 0, 0, incarnation], 7000).into(),
        state: MemberState::Alive,
        heartbeat: 1,
    }
}

fn heartbeat_from(sender: MemberRecord) -> HeartbeatMessage {
    HeartbeatMessage {
        sender,
        members: Vec::new(),
        workers: Vec::new(),
        generation: 0,
        load: MemberLoad::default(),
        demands: Vec::new(),
    }
}

fn kernel() -> MembershipKernel {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let own = record("entry-1", 1, 1_000);
    MembershipKernel::new(MembershipSettings::default(), own, &mut rng, START)
}

fn state_of(kernel: &MembershipKernel, incarnation: u128) -> Option<MemberState> {
    let member = kernel.member(IncarnationId::from_bits(incarnation))?;
    Some(member.record.state)
}

fn after_seconds(seconds: u64) -> UnixTime {
    START.after(Duration::from_secs(seconds))
}

fn fetch_addresses(actions: Vec<MembershipAction>) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for action in actions {
        if let MembershipAction::FetchConfiguration { address } = action {
            addresses.push(address);
        }
    }
    addresses
}

#[test]
fn newer_incarnation_of_host_makes_older_one_gone() {
    let mut kernel = kernel();
    kernel.on_heartbeat(&heartbeat_from(record("entry-2", 2, 2_000)), START);
    kernel.on_heartbeat(&heartbeat_from(record("entry-2", 3, 3_000)), START);
    assert_eq!(state_of(&kernel, 2), Some(MemberState::Gone));
    assert_eq!(state_of(&kernel, 3), Some(MemberState::Alive));

    let mut late = record("entry-2", 2, 2_000);
    late.heartbeat = 99;
    kernel.on_heartbeat(&heartbeat_from(late), after_seconds(1));
    assert_eq!(state_of(&kernel, 2), Some(MemberState::Gone));
    assert_eq!(kernel.counts().violations(), 0);
}

#[test]
fn older_incarnation_of_own_host_is_gone_and_newer_one_supersedes() {
    let mut kernel = kernel();
    kernel.on_heartbeat(&heartbeat_from(record("entry-1", 5, 500)), START);
    assert_eq!(state_of(&kernel, 5), Some(MemberState::Gone));
    let newer = record("entry-1", 6, 6_000);
    let actions = kernel.on_heartbeat(&heartbeat_from(newer.clone()), START);
    let by = Box::new(newer);
    assert!(actions.contains(&MembershipAction::Superseded { by }));
}

#[test]
fn silence_gives_suspect_and_fresh_counter_alive() {
    let mut kernel = kernel();
    kernel.on_heartbeat(&heartbeat_from(record("entry-2", 2, 2_000)), START);
    for second in 1..=3_600 {
        kernel.on_tick(after_seconds(second));
    }
    assert_eq!(state_of(&kernel, 2), Some(MemberState::Suspect));
    let mut newer = record("entry-2", 2, 2_000);
    newer.heartbeat = 2;
    kernel.on_heartbeat(&heartbeat_from(newer), after_seconds(3_601));
    assert_eq!(state_of(&kernel, 2), Some(MemberState::Alive));
}

#[test]
fn suspicion_at_known_counter_counts_and_at_older_one_does_not() {
    let mut kernel = kernel();
    let mut known = record("entry-2", 2, 2_000);
    known.heartbeat = 10;
    kernel.on_heartbeat(&heartbeat_from(known.clone()), START);
    let mut heartbeat_from_peer = heartbeat_from(record("entry-3", 3, 2_000));
    known.state = MemberState::Suspect;
    known.heartbeat = 9;
    heartbeat_from_peer.members = vec![known.clone()];
    kernel.on_heartbeat(&heartbeat_from_peer, START);
    assert_eq!(state_of(&kernel, 2), Some(MemberState::Alive));
    known.heartbeat = 10;
    heartbeat_from_peer.members = vec![known];
    kernel.on_heartbeat(&heartbeat_from_peer, START);
    assert_eq!(state_of(&kernel, 2), Some(MemberState::Suspect));
}

#[test]
fn failed_sends_make_suspect_and_leaving_never_reverts() {
    let mut kernel = kernel();
    let mut leaving = record("entry-2", 2, 2_000);
    leaving.state = MemberState::Leaving;
    kernel.on_heartbeat(&heartbeat_from(leaving), START);
    let mut later = record("entry-2", 2, 2_000);
    later.heartbeat = 50;
    kernel.on_heartbeat(&heartbeat_from(later), START);
    assert_eq!(state_of(&kernel, 2), Some(MemberState::Leaving));

    let other = record("entry-3", 3, 2_000);
    kernel.on_heartbeat(&heartbeat_from(other.clone()), START);
    kernel.on_heartbeat_failed(other.peer_address, START);
    assert_eq!(state_of(&kernel, 3), Some(MemberState::Alive));
    kernel.on_heartbeat_failed(other.peer_address, START);
    assert_eq!(state_of(&kernel, 3), Some(MemberState::Suspect));
}

#[test]
fn gone_is_remembered_for_the_lifetime_of_tickets() {
    let mut kernel = kernel();
    kernel.on_heartbeat(&heartbeat_from(record("entry-2", 2, 2_000)), START);
    let mut ended = record("entry-2", 2, 2_000);
    ended.state = MemberState::Gone;
    kernel.on_heartbeat(&heartbeat_from(ended), START);
    kernel.on_tick(after_seconds(601));
    assert_eq!(state_of(&kernel, 2), Some(MemberState::Gone));
    kernel.on_tick(after_seconds(7 * 3_600));
    assert_eq!(state_of(&kernel, 2), None);
}

#[test]
fn own_sign_of_worker_stands_against_lagging_lists() {
    let mut kernel = kernel();
    let worker = WorkerName::from("worker-1");
    let listed = [worker.clone()];
    kernel.on_worker_list(1, &listed, &[], START);
    let actions = kernel.on_leave_notice(&worker, START);
    let leaving = MembershipAction::WorkerLeaving {
        worker: worker.clone(),
    };
    assert!(actions.contains(&leaving));
    kernel.on_worker_list(2, &listed, &[], after_seconds(1));
    assert!(
        kernel.departures().is_leaving(&worker),
        "a stale list ended the notice"
    );
    kernel.on_worker_list(3, &[], &listed, after_seconds(2));
    kernel.on_worker_list(2, &listed, &[], after_seconds(3));
    assert!(
        kernel.departures().is_leaving(&worker),
        "an outdated list ended the notice"
    );
    kernel.on_worker_list(4, &listed, &[], after_seconds(4));
    assert!(
        !kernel.departures().is_leaving(&worker),
        "a newer list did not end the notice"
    );
    assert_eq!(kernel.counts().lists_refused, 1);

    let ended_notice = WorkerNews {
        worker: worker.clone(),
        leaving: true,
        revision: 0,
        given: START,
    };
    let new_notice = WorkerNews {
        given: after_seconds(5),
        ..ended_notice.clone()
    };
    let mut heartbeat_from_peer = heartbeat_from(record("entry-2", 2, 2_000));
    heartbeat_from_peer.workers = vec![ended_notice];
    kernel.on_heartbeat(&heartbeat_from_peer, after_seconds(5));
    assert!(
        !kernel.departures().is_leaving(&worker),
        "a notice that had ended was applied"
    );
    heartbeat_from_peer.workers = vec![new_notice];
    kernel.on_heartbeat(&heartbeat_from_peer, after_seconds(5));
    assert!(
        kernel.departures().is_leaving(&worker),
        "a new notice was not applied"
    );
}

#[test]
fn worker_that_no_list_names_any_more_is_leaving() {
    let mut kernel = kernel();
    let workers = [WorkerName::from("worker-1"), WorkerName::from("worker-2")];
    kernel.on_worker_list(1, &workers, &[], START);
    kernel.on_worker_list(2, &workers[..1], &[], START);
    assert!(!kernel.departures().is_leaving(&workers[0]));
    assert!(kernel.departures().is_leaving(&workers[1]));
}

#[test]
fn newer_generation_is_fetched_once_at_a_time_and_elsewhere_after_a_failure() {
    let mut kernel = kernel();
    kernel.set_generation(3, START);
    let first = record("entry-2", 2, 2_000);
    let second = record("entry-3", 3, 2_000);
    let mut heartbeat_from_peer = heartbeat_from(first.clone());
    heartbeat_from_peer.generation = 4;
    assert_eq!(
        fetch_addresses(kernel.on_heartbeat(&heartbeat_from_peer, START)),
        [first.peer_address]
    );
    heartbeat_from_peer.sender = second.clone();
    assert_eq!(
        fetch_addresses(kernel.on_heartbeat(&heartbeat_from_peer, START)),
        []
    );
    let retry = kernel.on_fetch_failed(first.peer_address, START);
    assert_eq!(
        fetch_addresses(retry),
        [],
        "a failed fetch was retried without a delay"
    );
    assert_eq!(
        fetch_addresses(kernel.on_tick(after_seconds(1))),
        [second.peer_address]
    );
    kernel.set_generation(4, START);
    kernel.set_generation(2, START);
    assert_eq!(kernel.generation(), 4);
    assert_eq!(kernel.counts().generations_refused, 1);
}
