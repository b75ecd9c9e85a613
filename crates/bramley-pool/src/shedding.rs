//! Refusal of new requests while a host is short of processor time.
//!
//! The delay of a periodic timer tells how long work waits in the host's own queue. As in `CoDel`,
//! the minimum over a window separates a standing queue from a burst. While it is too long, a
//! growing share of the new requests is refused, least urgent first.

use std::fmt;
use std::time::Duration;

use bramley_core::units::UnixTime;

use crate::route_gate::{FULL_SHARE, PassCounter};

/// Settings of a [`HostShedder`].
#[derive(Clone, Copy, Debug)]
pub struct SheddingSettings {
    /// Queueing delay from which a host sheds. A tenth of the shortest latency objective.
    pub max_delay: Duration,
    /// Queueing delay from which the host of a leader sheds. Other hosts can serve its callers, but
    /// none can do the leader's work.
    pub max_leader_delay: Duration,
    /// Length of the window whose shortest delay counts.
    pub window: Duration,
    /// Increase of the shed share after the first window with a long delay, in thousandths; it
    /// grows by as much with each further one.
    pub increase_permille: u32,
    /// Decrease of the shed share after the first window with a short delay, in thousandths; it
    /// grows by as much with each further one.
    pub decrease_permille: u32,
    /// Largest shed share in thousandths. The rest shows when the shortage is over.
    pub max_shed_permille: u32,
    /// Largest shed share of a priority in thousandths while more urgent ones are shed less, so
    /// that none is shut out.
    pub max_priority_permille: u32,
    /// Shed share in thousandths from which a leader's host counts as not ready.
    pub unready_permille: u32,
    /// Longest time for which it counts as not ready.
    pub unready_time: Duration,
    /// Shortest time between the beginnings of two such times. A leader that is not ready for
    /// longer would lose all its callers to hosts that may be short of processor time as well.
    pub unready_interval: Duration,
}

impl Default for SheddingSettings {
    fn default() -> Self {
        Self {
            max_delay: Duration::from_millis(20),
            max_leader_delay: Duration::from_millis(10),
            window: Duration::from_millis(100),
            increase_permille: 40,
            decrease_permille: 15,
            max_shed_permille: 980,
            max_priority_permille: 900,
            unready_permille: 500,
            unready_time: Duration::from_secs(1),
            unready_interval: Duration::from_secs(8),
        }
    }
}

/// Shortest time between the first and the last sample of a window, so that a single pause of the
/// process does not count as a standing queue.
const MIN_SAMPLED_TIME: Duration = Duration::from_millis(40);

/// Part of the delay, as a divisor, by which it has to fall from one window to the next for the
/// shed share to stay. A queue of 200 ms then gets shorter than 20 ms in about two seconds.
const FALL_DIVISOR: u32 = 8;

/// Divisor of the traffic that is forgotten with each window, which makes the average go back about
/// a second.
const TRAFFIC_DECAY_DIVISOR: u32 = 8;

/// Weight of one request in the average, so that few requests do not vanish in rounding.
const REQUEST_WEIGHT: u32 = 64;

/// Requests of one priority.
#[derive(Clone, Copy, Debug)]
struct PriorityTraffic {
    priority: u32,
    /// Requests since the window began.
    offered: u32,
    /// Average of the requests per window, times a constant weight.
    average: u32,
    /// Share that is shed, in thousandths.
    shed_permille: u32,
    counter: PassCounter,
}

/// Change of the shedding that is to be logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SheddingChange {
    /// The host begins to shed at this queueing delay.
    Begun {
        /// Shortest delay in the last window.
        delay: Duration,
    },
    /// The host has ceased to shed.
    Ended {
        /// Requests that were shed since it began.
        shed: u64,
        /// Time since it began.
        lasted: Duration,
    },
}

impl fmt::Display for SheddingChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Begun { delay } => {
                write!(f, "event=shedding_begun queueing_ms={}", delay.as_millis())
            }
            Self::Ended { shed, lasted } => write!(
                f,
                "event=shedding_ended shed={shed} lasted_ms={}",
                lasted.as_millis(),
            ),
        }
    }
}

/// Refusal of a request for lack of processor time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShedRequest {
    /// Shortest queueing delay in the last window.
    pub delay: Duration,
    /// Share of the requests of this priority that is not shed, in thousandths.
    pub pass_permille: u32,
}

/// Decides which new requests a host sheds.
#[derive(Clone, Debug)]
pub struct HostShedder {
    settings: SheddingSettings,
    window_ends_at: UnixTime,
    /// Time of the first sample in the current window.
    sampled_since: Option<UnixTime>,
    /// Time at which the timer is due.
    timer_due_at: UnixTime,
    /// Time at which the timer was first seen to be overdue for a window.
    overdue_seen_at: Option<UnixTime>,
    is_leader: bool,
    /// Shortest delay in the current window.
    shortest: Duration,
    /// Shortest delay in the last window.
    delay: Duration,
    shed_permille: u32,
    /// Share at which the delay last became short; zero if nothing was shed since.
    sufficient_permille: u32,
    /// Windows in a row with a long delay, or with a short one.
    windows_long: u32,
    windows_short: u32,
    /// Priorities seen so far, least urgent first.
    traffic: Vec<PriorityTraffic>,
    begun_at: UnixTime,
    /// Requests shed since then.
    shed: u64,
    unready_until: UnixTime,
    may_be_unready_at: UnixTime,
}

impl HostShedder {
    /// Creates the shedder of a host.
    #[must_use]
    pub const fn new(settings: SheddingSettings) -> Self {
        Self {
            settings,
            window_ends_at: UnixTime::from_millis(0),
            sampled_since: None,
            timer_due_at: UnixTime::NEVER,
            overdue_seen_at: None,
            is_leader: false,
            shortest: Duration::MAX,
            delay: Duration::ZERO,
            shed_permille: 0,
            sufficient_permille: 0,
            windows_long: 0,
            windows_short: 0,
            traffic: Vec::new(),
            begun_at: UnixTime::from_millis(0),
            shed: 0,
            unready_until: UnixTime::from_millis(0),
            may_be_unready_at: UnixTime::from_millis(0),
        }
    }

    /// Returns the shortest queueing delay in the last window.
    #[must_use]
    pub const fn delay(&self) -> Duration {
        self.delay
    }

    /// Returns the share of the new requests that is shed, in thousandths.
    #[must_use]
    pub const fn shed_permille(&self) -> u32 {
        self.shed_permille
    }

    /// Returns whether a leader's host should receive no new connections for now.
    #[must_use]
    pub fn is_unready(&self, now: UnixTime) -> bool {
        now < self.unready_until && self.is_shedding_heavily()
    }

    const fn is_shedding_heavily(&self) -> bool {
        self.shed_permille >= self.settings.unready_permille
    }

    /// Records the delay of the timer, which has just fired and is due again at `due_at`.
    pub fn timer_fired(
        &mut self,
        delay: Duration,
        due_at: UnixTime,
        is_leader: bool,
        now: UnixTime,
    ) -> Option<SheddingChange> {
        self.timer_due_at = due_at;
        self.overdue_seen_at = None;
        self.is_leader = is_leader;
        self.shortest = self.shortest.min(delay);
        let sampled_since = *self.sampled_since.get_or_insert(now);
        let is_sampled = now.since(sampled_since) >= MIN_SAMPLED_TIME;
        if now < self.window_ends_at || !is_sampled {
            return None;
        }
        self.end_window(now)
    }

    /// Evaluates the delays of a window that has ended.
    fn end_window(&mut self, now: UnixTime) -> Option<SheddingChange> {
        let falls = self.shortest < self.delay - self.delay / FALL_DIVISOR;
        self.delay = self.shortest;
        self.window_ends_at = now.after(self.settings.window);
        self.sampled_since = None;
        self.shortest = Duration::MAX;
        let limit = if self.is_leader {
            self.settings.max_leader_delay
        } else {
            self.settings.max_delay
        };
        let before = self.shed_permille;
        if self.delay > limit && falls && before > 0 {
            // The share suffices, and the queue is getting shorter.
            self.windows_long = 0;
        } else if self.delay > limit {
            self.windows_short = 0;
            self.windows_long += 1;
            let increase = self.settings.increase_permille * self.windows_long;
            // The share that sufficed before is approached in larger steps.
            let halfway = before.midpoint(self.sufficient_permille);
            self.shed_permille = (before + increase)
                .max(halfway)
                .min(self.settings.max_shed_permille);
        } else {
            if self.windows_short == 0 {
                self.sufficient_permille = before;
            }
            self.windows_long = 0;
            self.windows_short += 1;
            let decrease = self
                .settings
                .decrease_permille
                .saturating_mul(self.windows_short);
            self.shed_permille = before.saturating_sub(decrease);
            if self.shed_permille == 0 {
                self.sufficient_permille = 0;
            }
        }
        self.distribute();
        if self.is_leader && self.is_shedding_heavily() && now >= self.may_be_unready_at {
            self.unready_until = now.after(self.settings.unready_time);
            self.may_be_unready_at = now.after(self.settings.unready_interval);
        }
        match (before, self.shed_permille) {
            (0, 1..) => {
                self.begun_at = now;
                self.shed = 0;
                Some(SheddingChange::Begun { delay: self.delay })
            }
            (1.., 0) => Some(SheddingChange::Ended {
                shed: self.shed,
                lasted: now.since(self.begun_at),
            }),
            _ => None,
        }
    }

    /// Distributes the shed share over the priorities, least urgent first.
    fn distribute(&mut self) {
        for traffic in &mut self.traffic {
            traffic.average -= traffic.average / TRAFFIC_DECAY_DIVISOR;
            let offered = traffic.offered.saturating_mul(REQUEST_WEIGHT);
            traffic.average = traffic
                .average
                .saturating_add(offered / TRAFFIC_DECAY_DIVISOR);
            traffic.offered = 0;
        }
        let total: u64 = self
            .traffic
            .iter()
            .map(|traffic| u64::from(traffic.average))
            .sum();
        // In thousandths of a request, like the products below.
        let mut left = total * u64::from(self.shed_permille);
        let largest = self.settings.max_priority_permille.max(self.shed_permille);
        for traffic in &mut self.traffic {
            let average = u64::from(traffic.average);
            let wanted = left.checked_div(average).unwrap_or(u64::from(largest));
            let shed = wanted.min(u64::from(largest));
            left = left.saturating_sub(shed * average);
            traffic.shed_permille = if self.shed_permille == 0 {
                0
            } else {
                u32::try_from(shed).unwrap_or(largest)
            };
        }
    }

    /// Handles a new request. While much work waits, the timer fires too rarely to tell in time, so
    /// a window also ends if it has been overdue throughout. Returns a change of the shedding that
    /// is to be logged.
    pub fn request_arrived(&mut self, now: UnixTime) -> Option<SheddingChange> {
        let overdue = now.since(self.timer_due_at);
        if overdue < self.settings.window || now < self.window_ends_at {
            return None;
        }
        let seen_at = *self.overdue_seen_at.get_or_insert(now);
        if now.since(seen_at) < MIN_SAMPLED_TIME {
            return None;
        }
        if self.sampled_since.is_none() {
            self.shortest = overdue;
        }
        self.end_window(now)
    }

    /// Counts a new request and returns its refusal if it is shed.
    pub fn shed(&mut self, priority: u32) -> Option<ShedRequest> {
        let found = self
            .traffic
            .iter()
            .position(|known| known.priority == priority);
        let position = found.unwrap_or_else(|| self.add_priority(priority));
        let traffic = &mut self.traffic[position];
        traffic.offered = traffic.offered.saturating_add(1);
        if !traffic.counter.passes(traffic.shed_permille) {
            return None;
        }
        let pass_permille = FULL_SHARE - traffic.shed_permille;
        self.shed += 1;
        Some(ShedRequest {
            delay: self.delay,
            pass_permille,
        })
    }

    fn add_priority(&mut self, priority: u32) -> usize {
        let position = self
            .traffic
            .partition_point(|known| known.priority > priority);
        let traffic = PriorityTraffic {
            priority,
            offered: 0,
            average: 0,
            shed_permille: 0,
            counter: PassCounter::default(),
        };
        self.traffic.insert(position, traffic);
        position
    }
}
