//! Times after which refused callers are told to retry.

use std::hash::Hasher;
use std::time::Duration;

use rustc_hash::FxHasher;

use crate::route_gate::FULL_SHARE;
use crate::settings::RelaySettings;

/// Range of the retry times of callers that are refused at the same moment, in milliseconds.
const RETRY_SPREAD_MS: u32 = 1_000;

/// Half of the resolution of responses, for rounding.
const HALF_RESOLUTION: Duration = Duration::from_millis(500);

/// Returns the retry time of a caller that is refused under overload, in whole seconds, which is
/// the resolution of responses. It is at least the expected wait and grows as the passed share
/// falls, so that returning callers do not add to the load. It is spread by the name of the job.
#[must_use]
pub fn retry_time(
    settings: &RelaySettings,
    wait: Duration,
    pass_permille: u32,
    job: &str,
) -> Duration {
    let shortest = settings.min_retry_after;
    let spread = Duration::from_millis(u64::from(RETRY_SPREAD_MS));
    let longest = settings.max_retry_after.saturating_sub(spread);
    let by_share = shortest * FULL_SHARE / pass_permille.max(1);
    let base = wait.max(by_share).min(longest).max(shortest);
    let offset = Duration::from_millis(u64::from(hash_below(job, RETRY_SPREAD_MS)));
    Duration::from_secs((base + offset + HALF_RESOLUTION).as_secs())
}

/// Returns a number below `bound` that depends only on the text.
#[must_use]
pub fn hash_below(text: &str, bound: u32) -> u32 {
    let mut hasher = FxHasher::default();
    hasher.write(text.as_bytes());
    // The upper bits depend on the whole text.
    let scaled = ((hasher.finish() >> 32) * u64::from(bound)) >> 32;
    u32::try_from(scaled).unwrap_or(0)
}
