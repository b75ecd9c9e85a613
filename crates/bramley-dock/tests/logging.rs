//! Logs are bounded and never block, and routine lines are sampled by job.

use std::io::{self, Write};
use std::sync::mpsc;
use std::time::Duration;

use bramley_dock::logging::{JobLogSampler, LogBuffer};
use bramley_dock::metrics::DockMetrics;
use log::Level;

/// An output that blocks on every write until the test ends.
struct StuckOutput(mpsc::Receiver<()>);

impl Write for StuckOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.0.recv() {
            Ok(()) => Ok(buf.len()),
            Err(_closed) => Err(io::Error::from(io::ErrorKind::BrokenPipe)),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_never_reads_blocks_nobody() {
    let log = LogBuffer::new(100);
    let (release, stuck) = mpsc::channel();
    let writer = log.clone();
    let thread = std::thread::spawn(move || writer.write_to(StuckOutput(stuck)));
    for number in 0..100_000 {
        log.push(Level::Debug, format!("line {number}\n").into_bytes());
    }
    assert!(
        log.buffered_lines() <= 100,
        "{} lines are buffered",
        log.buffered_lines()
    );
    drop(release);
    log.close();
    let result = thread.join().expect("the writer thread panicked");
    assert_eq!(
        result.expect_err("the output should fail").kind(),
        io::ErrorKind::BrokenPipe
    );
}

#[test]
fn refusals_and_failures_are_kept_when_routine_is_dropped() {
    let log = LogBuffer::new(8);
    for number in 0..20 {
        log.push(Level::Debug, format!("routine {number}\n").into_bytes());
    }
    for number in 0..20 {
        log.push(Level::Info, format!("notable {number}\n").into_bytes());
    }
    log.push(Level::Warn, b"refused\n".to_vec());
    log.push(Level::Warn, b"failed\n".to_vec());
    log.close();
    let mut written = Vec::new();
    log.write_to(&mut written)
        .expect("writing to a vector does not fail");
    let text = String::from_utf8(written).expect("lines are UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines[..8],
        [
            "routine 0",
            "routine 1",
            "routine 2",
            "routine 3",
            "notable 0",
            "notable 1",
            "refused",
            "failed"
        ]
    );
    assert!(
        lines[8].ends_with("event=log_lines_dropped count=34"),
        "{}",
        lines[8]
    );
}

#[test]
fn above_its_rate_a_sampler_keeps_the_same_jobs_on_every_host() {
    let mut first = JobLogSampler::new(10);
    let mut second = JobLogSampler::new(10);
    let jobs: Vec<String> = (0..2_000).map(|number| format!("{number:016x}")).collect();
    let kept_by = |sampler: &mut JobLogSampler| -> Vec<bool> {
        for _ in 0..10 {
            sampler.should_log("warm-up", 7);
        }
        jobs.iter().map(|job| sampler.should_log(job, 7)).collect()
    };
    let kept = kept_by(&mut first);
    assert_eq!(kept, kept_by(&mut second));
    let count = kept.iter().filter(|kept| **kept).count();
    assert!((60..=200).contains(&count), "{count} of 2000 jobs are kept");
    assert!(
        first.should_log(&jobs[0], 8),
        "the rate applies to each second anew"
    );
}

#[test]
fn a_closed_log_ends_its_writer() {
    let log = LogBuffer::new(4);
    let writer = log.clone();
    let (done, ended) = mpsc::channel();
    std::thread::spawn(move || {
        drop(writer.write_to(io::sink()));
        done.send(()).expect("the test is receiving");
    });
    log.close();
    let end = ended.recv_timeout(Duration::from_secs(60));
    assert_eq!(end, Ok(()));
}

#[test]
fn dropped_lines_are_counted_in_the_metrics() {
    let log = LogBuffer::new(1);
    let metrics = DockMetrics::default();
    metrics.count_dropped_lines(log.clone());
    for _ in 0..3 {
        log.push(Level::Warn, b"line\n".to_vec());
    }
    assert_eq!(log.dropped_lines(), 2);
    assert!(
        metrics
            .encode()
            .contains("bramley_dock_log_lines_dropped 2"),
        "{}",
        metrics.encode()
    );
}

/// Guards against lines that quote whole bodies or paths of clients and fill the memory.
#[test]
fn a_long_line_is_cut_at_a_character() {
    let log = LogBuffer::new(10);
    let quoted = format!(
        "event=job_unreadable error=\"{}\"\n",
        "\u{e4}".repeat(100_000)
    );
    log.push(Level::Warn, quoted.into_bytes());
    log.push(Level::Warn, "short\n".into());
    log.close();
    let mut output = Vec::new();
    log.write_to(&mut output).expect("a vector can be written");
    let text = String::from_utf8(output).expect("only whole characters are kept");
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].len() < 2_048, "{} bytes", lines[0].len());
    assert!(lines[0].ends_with("... cut=true"), "{}", lines[0]);
    assert_eq!(lines[1], "short");
}
