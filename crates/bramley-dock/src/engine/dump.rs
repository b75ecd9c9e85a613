//! State dump for operators.

use std::collections::BTreeMap;

use super::Engine;
use crate::platform::Platform;

impl<P: Platform> Engine<P> {
    /// Returns the state of the process as JSON.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let state = self.state.borrow();
        let now = self.now();
        let load = state.pool.load(now);
        let pools: BTreeMap<&str, serde_json::Value> = state
            .pools
            .iter()
            .map(|(domain, link)| {
                let value = serde_json::json!({
                    "address": link.claim.address,
                    "incarnation": link.claim.incarnation,
                    "connected": state.relay.is_connected(domain),
                    "evacuated": state.relay.is_evacuated(domain),
                    "heard_ms_ago": now.since(link.last_heard_at).as_millis(),
                });
                (domain.as_str(), value)
            })
            .collect();
        let workers: Vec<serde_json::Value> = state
            .pool
            .workers()
            .iter()
            .map(|worker| {
                serde_json::json!({
                    "name": worker.entry.name.as_str(),
                    "listed": worker.listed,
                    "leaving": worker.entry.leaving,
                    "usable": worker.is_usable(),
                    "runs": worker.runs.len(),
                    "free_cpu_milli": worker.free().cpu_milli,
                    "pace": worker.relative_run_time,
                    "cold_ms": worker.cold_until.since(now).as_millis(),
                    "pace_deviation": worker.speed.deviation(),
                    "pace_runs": worker.speed.runs(),
                    "missed_looks": worker.missed_polls,
                })
            })
            .collect();
        let route_pairs: Vec<serde_json::Value> = state
            .pool
            .route_pairs()
            .iter()
            .map(|pair| {
                serde_json::json!({
                    "route": pair.route.as_str(),
                    "beside": pair.neighbour.as_str(),
                    "slowdown": pair.slowdown,
                    "lower": pair.lower,
                    "upper": pair.upper,
                    "observations": pair.observations,
                    "interferes": pair.is_interfering,
                })
            })
            .collect();
        serde_json::json!({
            "host": self.settings.host.host.as_str(),
            "domain": self.settings.host.domain.as_str(),
            "incarnation": self.incarnation,
            "token": state.pool.token(),
            "configuration": state.routes.version,
            "evacuated": load.evacuated,
            "open_jobs": state.relay.open_jobs(),
            "pool_jobs": state.pool.open_jobs(),
            "free_cpu_milli": load.free_cpu_milli,
            "waiting_tasks": load.waiting_tasks,
            "pools": pools,
            "workers": workers,
            "route_pairs": route_pairs,
            "placements_kept_apart": state.pool.counts().placements_kept_apart,
        })
    }
}
