//! Tests of how a team's quota is divided among hosts when some are lost or partitioned.

mod support;

use bramley_core::job::ReplyToken;
use bramley_core::kernel::action::KernelAction;
use bramley_core::kernel::event::{JobSubmission, KernelEvent, PeerView};
use bramley_core::kernel::settings::KernelSettings;
use bramley_core::kernel::{DispatchKernel, KernelIdentity};
use bramley_core::names::{DomainName, HostName};
use bramley_core::units::{TicketSerial, UnixTime};
use support::{TEAM, configuration_with_quotas, job, live_worker};

/// Quota of the team in the whole deployment.
const QUOTA: u32 = 60;

/// Number of tasks of the job; exceeds the quota.
const TASKS: usize = 100;

const NOW: UnixTime = UnixTime::from_millis(1_000);

fn peer(host: &str, domain: &str, reachable: bool) -> PeerView {
    PeerView {
        host: HostName::from(host),
        domain: DomainName::from(domain),
        owns_slots: reachable,
        reachable,
        idle_slots: 0,
        idle_accelerator_slots: 0,
    }
}

/// Returns how many tasks of one job a host in `freising` starts, given its view of the peers.
fn count_starts(peers: Vec<PeerView>) -> usize {
    let identity = KernelIdentity {
        host: HostName::from("freising-1"),
        domain: DomainName::from("freising"),
        seed: 1,
    };
    let mut kernel = DispatchKernel::new(identity, KernelSettings::default());
    let mut actions = Vec::new();
    let configuration = configuration_with_quotas(&[(TEAM, QUOTA)]);
    kernel.handle(
        KernelEvent::ConfigurationChanged(configuration),
        NOW,
        &mut actions,
    );
    let profile = live_worker("worker-1", "freising", 400);
    kernel.handle(KernelEvent::WorkersListed(vec![profile]), NOW, &mut actions);
    kernel.handle(KernelEvent::PeersChanged(peers), NOW, &mut actions);
    let payloads = vec!["x"; TASKS];
    let spec = job(&payloads, UnixTime::from_millis(60_000), false);
    let digest = spec.digest();
    let submission = JobSubmission {
        serial: TicketSerial(1),
        expiry: UnixTime::from_millis(100_000),
        spec,
        digest,
        token: ReplyToken(1),
    };
    kernel.handle(KernelEvent::Submitted(submission), NOW, &mut actions);
    let is_start = |action: &&KernelAction| matches!(action, KernelAction::Start(_));
    actions.iter().filter(is_start).count()
}

fn peer_views(freising_reachable: bool, others_reachable: bool) -> Vec<PeerView> {
    vec![
        peer("freising-2", "freising", freising_reachable),
        peer("muenchen-1", "muenchen", others_reachable),
        peer("muenchen-2", "muenchen", others_reachable),
        peer("rosenheim-1", "rosenheim", others_reachable),
        peer("rosenheim-2", "rosenheim", others_reachable),
    ]
}

#[test]
fn hosts_that_hear_each_other_have_equal_shares() {
    assert_eq!(count_starts(peer_views(true, true)), 10);
}

#[test]
fn the_share_of_a_lost_host_falls_to_the_others() {
    assert_eq!(count_starts(peer_views(false, true)), 12);
    let mut peers = peer_views(true, true);
    peers[1] = peer("muenchen-1", "muenchen", false);
    assert_eq!(count_starts(peers), 12);
}

#[test]
fn a_domain_that_is_cut_off_keeps_to_its_share() {
    assert_eq!(count_starts(peer_views(true, false)), 10);
    // A silent host of the same domain still counts as lost.
    assert_eq!(count_starts(peer_views(false, false)), 12);
}
