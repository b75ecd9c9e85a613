//! Lost jobs by cause, counted from log lines.

use std::sync::Arc;

use bramley_explain::{LogLine, LossTable};

const LINES: &str = "\
time_ms=1 level=debug event=job_admitted job=late route=usual tasks=2 class=in_time wait_ms=0
time_ms=2 level=debug event=task_placed task=late.0.0.0 number=1 worker=w-1 age_ms=300
time_ms=3 level=debug event=job_ended job=late outcome=completed failures=0 age_ms=500 objective_ms=380
time_ms=1 level=debug event=job_admitted job=faulty route=usual tasks=1 class=in_time wait_ms=0
time_ms=2 level=warn event=run_lost task=faulty.0.0.0 number=1 worker=w-1 evidence=silent
time_ms=3 level=debug event=job_ended job=faulty outcome=completed failures=0 age_ms=900 objective_ms=380
time_ms=1 level=debug event=job_admitted job=good route=usual tasks=1 class=in_time wait_ms=0
time_ms=3 level=debug event=job_ended job=good outcome=completed failures=0 age_ms=100 objective_ms=380
time_ms=1 level=warn event=job_refused job=full route=urgent reason=overloaded free_cpu_milli=5000 cpu_milli=9000
time_ms=1 level=warn event=job_refused job=pieces route=urgent reason=overloaded free_cpu_milli=5000 cpu_milli=9000
time_ms=2 level=warn event=job_refused job=pieces route=urgent reason=overloaded free_cpu_milli=30000 cpu_milli=9000
time_ms=1 level=warn event=job_refused job=elsewhere route=urgent reason=overloaded free_cpu_milli=5000 cpu_milli=9000
time_ms=2 level=debug event=job_admitted job=elsewhere route=urgent tasks=8 class=in_time wait_ms=0
time_ms=3 level=debug event=job_ended job=elsewhere outcome=completed failures=0 age_ms=100 objective_ms=156
time_ms=1 level=debug event=job_admitted job=held route=urgent tasks=8 class=late wait_ms=90
time_ms=2 level=warn event=job_refused job=held route=urgent reason=expired free_cpu_milli=0 cpu_milli=9000
time_ms=1 level=warn event=job_refused job=gated route=urgent reason=overloaded by=published_state
time_ms=4 level=warn event=refusals_omitted reason=overloaded count=12
garbled line without fields
";

/// Guards against jobs that count although another pool has served them, and against causes that
/// take each other's place.
#[test]
fn jobs_are_counted_once_by_cause() {
    let host: Arc<str> = "host-1".into();
    let lines = LINES.lines().filter_map(|line| LogLine::parse(&host, line));
    insta::assert_snapshot!(LossTable::collect(lines).to_string());
}
