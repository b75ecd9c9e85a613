//! Bounded logs that never block the caller.
//!
//! Lines go to a buffer that a thread of its own writes to standard output. When the buffer is
//! full, lines of less weight are dropped and counted, and the count is written once there is room.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use env_logger::{Builder, Target, WriteStyle};
use log::{Level, LevelFilter};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::time_of_day;

/// Share of the buffer, in percent, from which lines of routine are dropped.
const ROUTINE_PERCENT: usize = 50;

/// Share of the buffer, in percent, from which notable lines are dropped.
const NOTABLE_PERCENT: usize = 75;

/// Above the stated rate, one job in this many keeps its lines of routine.
const SAMPLE_DIVISOR: u64 = 16;

/// Time that the writer collects lines, so that it wakes rarely.
const COLLECT_TIME: Duration = Duration::from_millis(50);

/// Lines that wait for the writer.
#[derive(Debug, Default)]
struct LineBuffer {
    lines: VecDeque<Vec<u8>>,
    /// Lines dropped since the last report in the log.
    dropped: u64,
    /// Lines dropped since the start.
    dropped_in_all: u64,
    closed: bool,
}

/// Buffer between the program and the thread that writes.
#[derive(Clone, Debug)]
pub struct BoundedLog {
    shared: Arc<(Mutex<LineBuffer>, Condvar)>,
    capacity: usize,
}

impl BoundedLog {
    /// Makes a buffer of `capacity` lines.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            shared: Arc::default(),
            capacity: capacity.max(1),
        }
    }

    /// Adds a line unless the buffer is too full for its weight.
    pub fn push(&self, level: Level, line: Vec<u8>) {
        let (buffer, wake) = &*self.shared;
        let mut buffer = buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let percent = match level {
            Level::Error | Level::Warn => 100,
            Level::Info => NOTABLE_PERCENT,
            Level::Debug | Level::Trace => ROUTINE_PERCENT,
        };
        if buffer.lines.len() >= self.capacity * percent / 100 {
            buffer.dropped += 1;
            buffer.dropped_in_all += 1;
            return;
        }
        let was_empty = buffer.lines.is_empty();
        buffer.lines.push_back(line);
        if was_empty {
            wake.notify_one();
        }
    }

    /// Returns the number of lines dropped since the start.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        let buffer = self.shared.0.lock();
        buffer
            .unwrap_or_else(PoisonError::into_inner)
            .dropped_in_all
    }

    /// Returns the number of lines that wait.
    #[must_use]
    pub fn waiting_lines(&self) -> usize {
        let buffer = self.shared.0.lock();
        buffer.unwrap_or_else(PoisonError::into_inner).lines.len()
    }

    /// Writes lines until the buffer is closed and empty.
    ///
    /// # Errors
    ///
    /// Returns the fault of the output; later lines are dropped by the full buffer.
    pub fn write_to(&self, mut output: impl Write) -> io::Result<()> {
        loop {
            let (lines, dropped, closed) = self.wait_for_lines();
            for line in &lines {
                output.write_all(line)?;
            }
            if dropped > 0 {
                let now = time_of_day().as_millis();
                writeln!(
                    output,
                    "time_ms={now} level=warn event=log_lines_dropped count={dropped}"
                )?;
            }
            output.flush()?;
            if closed {
                return Ok(());
            }
            std::thread::sleep(COLLECT_TIME);
        }
    }

    /// Lets the writer end once all lines are written.
    pub fn close(&self) {
        let (buffer, wake) = &*self.shared;
        buffer.lock().unwrap_or_else(PoisonError::into_inner).closed = true;
        wake.notify_one();
    }

    fn wait_for_lines(&self) -> (VecDeque<Vec<u8>>, u64, bool) {
        let (buffer, wake) = &*self.shared;
        let mut buffer = buffer.lock().unwrap_or_else(PoisonError::into_inner);
        while buffer.lines.is_empty() && !buffer.closed {
            buffer = wake.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        let lines = std::mem::take(&mut buffer.lines);
        (lines, std::mem::take(&mut buffer.dropped), buffer.closed)
    }
}

/// Takes the lines of the logger; the first byte of each is its level.
#[derive(Debug)]
struct LevelledPipe(BoundedLog);

impl Write for LevelledPipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Some((mark, line)) = buf.split_first() {
            self.0.push(level_of_mark(*mark), line.to_vec());
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns a printable mark: the logger strips control characters.
const fn mark_of_level(level: Level) -> u8 {
    b'0' + level as u8
}

fn level_of_mark(mark: u8) -> Level {
    let mut levels = Level::iter();
    levels
        .find(|level| mark_of_level(*level) == mark)
        .unwrap_or(Level::Error)
}

/// Installs the logger and starts its writer; returns the buffer, to be closed at the end, and the
/// writer's thread.
///
/// # Errors
///
/// Returns the system's error if the thread cannot be started.
pub fn start_logging(
    level: LevelFilter,
    capacity: usize,
) -> io::Result<(BoundedLog, std::thread::JoinHandle<()>)> {
    let log = BoundedLog::new(capacity);
    Builder::new()
        .filter_level(LevelFilter::Warn)
        .filter_module("bramley_dock", level)
        .filter_module("bramley_platform", level)
        .write_style(WriteStyle::Never)
        .target(Target::Pipe(Box::new(LevelledPipe(log.clone()))))
        .format(|line, record| {
            line.write_all(&[mark_of_level(record.level())])?;
            let word = match record.level() {
                Level::Error => "error",
                Level::Warn => "warn",
                Level::Info => "info",
                Level::Debug => "debug",
                Level::Trace => "trace",
            };
            let now = time_of_day().as_millis();
            writeln!(line, "time_ms={now} level={word} {}", record.args())
        })
        .init();
    let writer = log.clone();
    let thread = std::thread::Builder::new()
        .name(String::from("log"))
        .spawn(move || {
            if let Err(error) = writer.write_to(io::stdout()) {
                // Standard output is gone, so the fault can only go to standard error.
                eprintln!("event=log_output_lost error={error}");
            }
        })?;
    Ok((log, thread))
}

/// Thins out lines of routine above a rate; the jobs that keep theirs are the same on all hosts.
#[derive(Clone, Copy, Debug)]
pub struct RoutineSampler {
    rate_per_s: u32,
    second: u64,
    lines: u32,
}

impl RoutineSampler {
    /// Makes a sampler that passes `rate_per_s` lines of routine in a second.
    #[must_use]
    pub const fn new(rate_per_s: u32) -> Self {
        Self {
            rate_per_s,
            second: 0,
            lines: 0,
        }
    }

    /// Tells whether a line of routine on the job is written at the given second.
    pub fn passes(&mut self, job: &str, second: u64) -> bool {
        if self.second != second {
            self.second = second;
            self.lines = 0;
        }
        self.lines = self.lines.saturating_add(1);
        self.lines <= self.rate_per_s || xxh3_64(job.as_bytes()).is_multiple_of(SAMPLE_DIVISOR)
    }
}
