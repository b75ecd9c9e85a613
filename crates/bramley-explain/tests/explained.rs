//! Explains failed requests from log lines that were recorded in a replay.

use std::sync::Arc;

use bramley_explain::{LogLine, Timeline, find_causes};

/// Log lines of a job that the pool of `a-2` refused, by host.
const REFUSED: [(&str, &str); 2] = [
    (
        "a-2",
        "5.0125 a-2 time_ms=1000090 level=warn event=job_refused job=915a route=r-1 reason=overloaded wait_ms=65 workers=13 free_cpu_milli=40350 cpu_milli=6850 waiting=16 list_age_ms=91 age_ms=0",
    ),
    (
        "b-2",
        "time_ms=1000029 level=debug event=request_received job=915a request=14d2 tasks=9 cpu_milli=6850 declared_ms=61
time_ms=1000033 level=debug event=request_answered job=915a request=14d2 status=503 ms=3",
    ),
];

/// Log lines of a job whose worker crashed, so that the task ran again on another one.
const LATE: &str = "\
time_ms=3465 level=debug event=request_received job=ddc8 tasks=2 declared_ms=40
time_ms=3489 level=debug event=job_admitted job=ddc8 tasks=2 wait_ms=16 slack_ms=115 waiting=6 list_age_ms=119
time_ms=3489 level=debug event=task_placed job=ddc8 task=1 run=1 worker=i-0ee9 report_age_ms=55 age_ms=18
time_ms=3600 level=warn event=worker_changed worker=i-ffff belief=silent runs=3 report_age_ms=456
time_ms=3843 level=info event=run_stopping job=ddc8 task=1 run=1 worker=i-0ee9 reason=stalled ran_ms=352
time_ms=3893 level=warn event=worker_changed worker=i-0ee9 belief=silent runs=3 report_age_ms=456
time_ms=4347 level=debug event=run_ended job=ddc8 task=1 run=1 worker=i-0ee9 end=lease_ended ran_ms=877
time_ms=4347 level=debug event=task_placed job=ddc8 task=1 run=2 worker=i-c904 age_ms=895
time_ms=4448 level=debug event=job_ended job=ddc8 outcome=completed failures=0 age_ms=981 objective_ms=207
time_ms=4449 level=debug event=request_answered job=ddc8 request=77 status=200 ms=983";

/// Log lines of a job whose relay lost the connection to its pool.
const MOVED: &str = "\
time_ms=30000 level=warn event=pool_lost pool=lk-west-a reason=closed heard_ms_ago=1
time_ms=33000 level=debug event=request_received job=b903 request=5 tasks=1
time_ms=34134 level=warn event=pool_lost pool=lk-west-a address=10.0.0.1:7 reason=silent heard_ms_ago=701
time_ms=36004 level=warn event=job_handed_over job=b903 pool=lk-west-b done=0 started=false
time_ms=36005 level=warn event=job_resumed job=b903 done=0 adopted=0
time_ms=36300 level=debug event=job_ended job=b903 outcome=completed failures=0 age_ms=2759 objective_ms=492
time_ms=36301 level=debug event=request_answered job=b903 request=5 status=200 ms=2760";

/// Log lines of a job whose task crashed two workers, the second one while it ran alone.
const GIVEN_UP: &str = "\
time_ms=6400 level=debug event=request_received job=362c request=91 tasks=1
time_ms=6400 level=debug event=task_placed job=362c task=0 run=1 worker=i-eb5e report_age_ms=20 age_ms=0
time_ms=7306 level=warn event=run_lost job=362c task=0 run=1 worker=i-eb5e born_ms=5 evidence=connection_refused beside=2 ran_ms=906
time_ms=7306 level=warn event=crash_recorded job=362c task=0 worker=i-eb5e evidence=connection_refused alone=false crashes=1 suspicion=suspected
time_ms=7306 level=warn event=run_ended job=362c task=0 run=1 worker=i-eb5e end=lease_ended ran_ms=906
time_ms=7352 level=debug event=task_placed job=362c task=0 run=2 worker=i-48aa report_age_ms=20 age_ms=952
time_ms=8335 level=warn event=run_lost job=362c task=0 run=2 worker=i-48aa born_ms=5 evidence=connection_refused beside=0 ran_ms=983
time_ms=8335 level=warn event=crash_recorded job=362c task=0 worker=i-48aa evidence=connection_refused alone=true crashes=2 suspicion=convicted
time_ms=8335 level=warn event=run_ended job=362c task=0 run=2 worker=i-48aa end=lease_ended ran_ms=983
time_ms=8335 level=warn event=task_given_up job=362c task=0 suspicion=convicted crashes=2 alone=1 workers=i-eb5e,i-48aa age_ms=1935
time_ms=8335 level=warn event=job_ended job=362c outcome=failed failures=0 age_ms=1935 objective_ms=184
time_ms=8336 level=debug event=request_answered job=362c request=91 status=200 ms=1936";

/// Log lines of a job that two pools refused and one of them then served late.
const SERVED_LATE: [(&str, &str); 2] = [
    (
        "a-1",
        "\
time_ms=1000 level=debug event=request_received job=ed1f request=1eb8 tasks=2 declared_ms=200
time_ms=1000 level=warn event=job_refused job=ed1f route=r-1 reason=overloaded wait_ms=310 workers=12 waiting=20 age_ms=0
time_ms=1445 level=debug event=request_answered job=ed1f request=1eb8 status=200 ms=445",
    ),
    (
        "b-1",
        "\
time_ms=1001 level=warn event=job_refused job=ed1f route=r-1 reason=overloaded wait_ms=240 workers=12 waiting=18 age_ms=1
time_ms=1002 level=debug event=job_admitted job=ed1f route=r-1 tasks=2 class=late wait_ms=240 slack_ms=178 waiting=18
time_ms=1240 level=debug event=task_placed job=ed1f task=0 run=1 worker=i-1 age_ms=240
time_ms=1444 level=debug event=job_ended job=ed1f outcome=completed failures=0 age_ms=444 objective_ms=380",
    ),
];

fn explain(id: &str, logs: &[(&str, &str)]) -> String {
    let logs: Vec<(Arc<str>, String)> = logs
        .iter()
        .map(|(host, text)| (Arc::from(*host), String::from(*text)))
        .collect();
    let timeline = Timeline::collect(id, &logs).expect("a line contains the ID");
    let findings = find_causes(&timeline);
    let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
    format!("{}\n\n{timeline}", findings.join("\n"))
}

#[test]
fn a_refused_request_is_explained_by_each_pools_inputs() {
    insta::assert_snapshot!(explain("14d2", &REFUSED));
}

#[test]
fn a_late_answer_is_explained_by_its_longest_wait_and_the_worker() {
    insta::assert_snapshot!(explain("ddc8", &[("b-1", LATE)]));
}

#[test]
fn a_job_that_moved_is_explained_by_the_pool_that_was_lost() {
    insta::assert_snapshot!(explain("b903", &[("b-2", MOVED)]));
}

#[test]
fn a_failed_job_is_explained_by_the_task_that_crashed_its_workers() {
    insta::assert_snapshot!(explain("362c", &[("a-2", GIVEN_UP)]));
}

#[test]
fn an_answer_that_no_pool_could_give_in_time_is_explained() {
    insta::assert_snapshot!(explain("1eb8", &SERVED_LATE));
}

/// Failure guarded against: a request that was refused before its body was read is said to have had
/// no response, because only its refusal was logged.
#[test]
fn a_request_that_was_refused_unread_is_explained_by_its_refusal() {
    let line = "time_ms=7 level=warn event=job_refused job=41cc request=8 route=r-1 \
                reason=overloaded by=published_state pass_permille=120 wait_ms=40 \
                retry_after_ms=4000 state_age_ms=90 body=unread";
    insta::assert_snapshot!(explain("8", &[("a-1", line)]));
}

#[test]
fn an_id_that_no_line_names_is_not_explained() {
    let logs = [(Arc::from("b-1"), String::from(LATE))];
    assert_eq!(Timeline::collect("dd", &logs), None);
}

#[test]
fn values_in_quotation_marks_keep_their_spaces_and_other_lines_are_left_out() {
    let host = Arc::from("a-1");
    let text = "time_ms=7 level=warn event=call_failed error=\"no route = none\" path=/x";
    let line = LogLine::parse(&host, text).expect("the line is a valid log line");
    assert_eq!(line.get("error"), Some("no route = none"));
    assert_eq!(line.get("path"), Some("/x"));
    for other in [
        "",
        "thread panicked",
        "time_ms=x event=a",
        "time_ms=5 level=warn",
    ] {
        assert_eq!(LogLine::parse(&host, other), None, "{other}");
    }
}
