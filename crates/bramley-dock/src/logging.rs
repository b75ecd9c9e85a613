//! Bounded logging that never blocks the caller.
//!
//! Lines go to a buffer that a dedicated thread writes to standard output. As the buffer fills up,
//! lines of lower severity are dropped first. Dropped lines are counted, and the count is logged
//! once there is room.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use env_logger::{Builder, Target, WriteStyle};
use log::{Level, LevelFilter};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::wall_clock_now;

/// Fill level of the buffer, in percent, from which debug and trace lines are dropped.
const DEBUG_FILL_PERCENT: usize = 50;

/// Fill level of the buffer, in percent, from which info lines are dropped.
const INFO_FILL_PERCENT: usize = 75;

/// Above the configured rate, one in this many jobs keeps its routine lines.
const SAMPLE_DIVISOR: u64 = 16;

/// Largest length of a line in bytes. Lines quote what clients send, which may be much longer.
const MAX_LINE_BYTES: usize = 2_048;

/// End of a line that was cut.
const CUT_END: &[u8] = b"... cut=true\n";

/// Time between two writes, so that the writer thread wakes rarely.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Lines waiting for the writer thread.
#[derive(Debug, Default)]
struct BufferState {
    lines: VecDeque<Vec<u8>>,
    /// Lines dropped since the last report in the log.
    dropped_unreported: u64,
    /// Lines dropped since the start.
    dropped_total: u64,
    closed: bool,
}

/// Buffer between the logger and the writer thread.
#[derive(Clone, Debug)]
pub struct LogBuffer {
    shared: Arc<(Mutex<BufferState>, Condvar)>,
    capacity: usize,
}

impl LogBuffer {
    /// Creates a buffer of `capacity` lines.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            shared: Arc::default(),
            capacity: capacity.max(1),
        }
    }

    /// Adds a line, or drops it if the buffer is too full for its level. The end of a line that is
    /// too long is cut.
    pub fn push(&self, level: Level, line: Vec<u8>) {
        let line = cut_line(line);
        let (buffer, lines_added) = &*self.shared;
        let mut buffer = buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let percent = match level {
            Level::Error | Level::Warn => 100,
            Level::Info => INFO_FILL_PERCENT,
            Level::Debug | Level::Trace => DEBUG_FILL_PERCENT,
        };
        if buffer.lines.len() >= self.capacity * percent / 100 {
            buffer.dropped_unreported += 1;
            buffer.dropped_total += 1;
            return;
        }
        let was_empty = buffer.lines.is_empty();
        buffer.lines.push_back(line);
        if was_empty {
            lines_added.notify_one();
        }
    }

    /// Returns the number of lines dropped since the start.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        let buffer = self.shared.0.lock();
        buffer.unwrap_or_else(PoisonError::into_inner).dropped_total
    }

    /// Returns the number of lines waiting to be written.
    #[must_use]
    pub fn buffered_lines(&self) -> usize {
        let buffer = self.shared.0.lock();
        buffer.unwrap_or_else(PoisonError::into_inner).lines.len()
    }

    /// Writes lines until the buffer is closed and empty.
    ///
    /// # Errors
    ///
    /// Returns the first write error. Lines logged after it fill the buffer and are then dropped.
    pub fn write_to(&self, mut output: impl Write) -> io::Result<()> {
        loop {
            let (lines, dropped_unreported, closed) = self.wait_for_lines();
            for line in &lines {
                output.write_all(line)?;
            }
            if dropped_unreported > 0 {
                let now = wall_clock_now().as_millis();
                writeln!(
                    output,
                    "time_ms={now} level=warn event=log_lines_dropped count={dropped_unreported}"
                )?;
            }
            output.flush()?;
            if closed {
                return Ok(());
            }
            std::thread::sleep(WRITE_INTERVAL);
        }
    }

    /// Lets the writer end once all lines are written.
    pub fn close(&self) {
        let (buffer, lines_added) = &*self.shared;
        buffer.lock().unwrap_or_else(PoisonError::into_inner).closed = true;
        lines_added.notify_one();
    }

    fn wait_for_lines(&self) -> (VecDeque<Vec<u8>>, u64, bool) {
        let (buffer, lines_added) = &*self.shared;
        let mut buffer = buffer.lock().unwrap_or_else(PoisonError::into_inner);
        while buffer.lines.is_empty() && !buffer.closed {
            buffer = lines_added
                .wait(buffer)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let lines = std::mem::take(&mut buffer.lines);
        (
            lines,
            std::mem::take(&mut buffer.dropped_unreported),
            buffer.closed,
        )
    }
}

/// Cuts a line at the largest length. Only whole characters are kept.
fn cut_line(line: Vec<u8>) -> Vec<u8> {
    if line.len() <= MAX_LINE_BYTES {
        return line;
    }
    let mut end = MAX_LINE_BYTES - CUT_END.len();
    while end > 0 && line[end] & 0b1100_0000 == 0b1000_0000 {
        end -= 1;
    }
    [&line[..end], CUT_END].concat()
}

/// Passes the logger's output to the buffer; the first byte of each line encodes its level.
#[derive(Debug)]
struct LevelTaggedPipe(LogBuffer);

impl Write for LevelTaggedPipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Some((tag, line)) = buf.split_first() {
            self.0.push(level_from_tag(*tag), line.to_vec());
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the level as a printable byte, because the logger strips control characters.
const fn level_tag(level: Level) -> u8 {
    b'0' + level as u8
}

fn level_from_tag(tag: u8) -> Level {
    let mut levels = Level::iter();
    levels
        .find(|level| level_tag(*level) == tag)
        .unwrap_or(Level::Error)
}

/// Installs the logger and starts the writer thread. Returns the buffer, which must be closed
/// before the process exits, and the handle of the thread.
///
/// # Errors
///
/// Returns the system's error if the thread cannot be started.
pub fn start_logging(
    level: LevelFilter,
    capacity: usize,
) -> io::Result<(LogBuffer, std::thread::JoinHandle<()>)> {
    let log = LogBuffer::new(capacity);
    Builder::new()
        .filter_level(LevelFilter::Warn)
        .filter_module("bramley_dock", level)
        .filter_module("bramley_platform", level)
        .write_style(WriteStyle::Never)
        .target(Target::Pipe(Box::new(LevelTaggedPipe(log.clone()))))
        .format(|line, record| {
            line.write_all(&[level_tag(record.level())])?;
            let level_name = match record.level() {
                Level::Error => "error",
                Level::Warn => "warn",
                Level::Info => "info",
                Level::Debug => "debug",
                Level::Trace => "trace",
            };
            let now = wall_clock_now().as_millis();
            writeln!(line, "time_ms={now} level={level_name} {}", record.args())
        })
        .init();
    let writer = log.clone();
    let thread = std::thread::Builder::new()
        .name(String::from("log"))
        .spawn(move || {
            if let Err(error) = writer.write_to(io::stdout()) {
                // Standard output no longer works, so the error can only go to standard error.
                eprintln!("event=log_output_lost error={error}");
            }
        })?;
    Ok((log, thread))
}

/// Limits routine log lines to a rate. Above it, lines are sampled by job, and all hosts keep the
/// lines of the same jobs.
#[derive(Clone, Copy, Debug)]
pub struct JobLogSampler {
    rate_per_s: u32,
    second: u64,
    lines: u32,
}

impl JobLogSampler {
    /// Creates a sampler that allows `rate_per_s` lines per second before it samples.
    #[must_use]
    pub const fn new(rate_per_s: u32) -> Self {
        Self {
            rate_per_s,
            second: 0,
            lines: 0,
        }
    }

    /// Returns whether a routine line about the job is logged in the given second.
    pub fn should_log(&mut self, job: &str, second: u64) -> bool {
        if self.second != second {
            self.second = second;
            self.lines = 0;
        }
        self.lines = self.lines.saturating_add(1);
        self.lines <= self.rate_per_s || xxh3_64(job.as_bytes()).is_multiple_of(SAMPLE_DIVISOR)
    }
}
