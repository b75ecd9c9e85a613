//! A violation comes with the lines of its job.

use bramley_soak::traces::find_lines;

/// Guards against violations that nobody can trace, as the logs of a run are not kept.
#[test]
fn the_lines_of_a_job_are_found_in_all_logs_in_order() {
    let folder = std::env::temp_dir().join(format!("bramley-soak-traces-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("creates");
    let logs = [
        (
            "host-0-0.log",
            "time_ms=12 job=00112233445566aa c\ntime_ms=9 job=00112233445566aa a\n",
        ),
        (
            "host-1-0.log",
            "time_ms=10 job=00112233445566aa b\ntime_ms=11 job=ffffffffffffffff\n",
        ),
        ("notes.txt", "time_ms=10 job=00112233445566aa\n"),
    ];
    for (name, text) in logs {
        std::fs::write(folder.join(name), text).expect("writes");
    }
    let lines = find_lines(
        &folder,
        "overlapping: task=00112233445566aa.0.0.1 began=1796465784105",
    );
    std::fs::remove_dir_all(&folder).expect("removes");
    assert_eq!(
        lines.expect("reads"),
        [
            "host-0-0 time_ms=9 job=00112233445566aa a",
            "host-1-0 time_ms=10 job=00112233445566aa b",
            "host-0-0 time_ms=12 job=00112233445566aa c",
        ]
    );
}
