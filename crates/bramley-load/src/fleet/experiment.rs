//! Days of one scenario with several seeds.

use std::thread;

use bramley_pool::mechanism::DisabledMechanisms;
use bramley_pool::settings::PoolSettings;

use super::day::play_day;
use super::outcome::DayOutcome;
use super::scenario::FleetScenario;

/// Days to be played for each variant.
#[derive(Clone, Debug)]
pub struct FleetExperiment {
    /// Fleet, load and faults.
    pub scenario: FleetScenario,
    /// Number of seeds, counted from 1.
    pub seeds: u64,
    /// Number of days played at the same time.
    pub parallel_days: usize,
}

impl FleetExperiment {
    /// Plays the days of all seeds without some mechanisms, and reports progress on standard error.
    ///
    /// # Panics
    ///
    /// Panics if the emulation of a day does.
    #[must_use]
    pub fn play(&self, disabled: DisabledMechanisms) -> Vec<DayOutcome> {
        let settings = PoolSettings {
            disabled,
            ..PoolSettings::default()
        };
        let seeds: Vec<u64> = (1..=self.seeds).collect();
        let mut days = Vec::new();
        for batch in seeds.chunks(self.parallel_days.max(1)) {
            thread::scope(|scope| {
                let players: Vec<_> = batch
                    .iter()
                    .map(|seed| scope.spawn(|| play_day(&self.scenario, &settings, *seed)))
                    .collect();
                for player in players {
                    match player.join() {
                        Ok(day) => days.push(day),
                        Err(panic) => std::panic::resume_unwind(panic),
                    }
                }
            });
            eprintln!("{} of {} days played", days.len(), seeds.len());
        }
        days
    }
}
