/*!
Logging to standard output without blocking.

# Problem

A process must not block because nobody reads its log output, and buffering
without a limit would exhaust memory under load.

# Choice

Each record is formatted by the thread that logs it and appended to a buffer
of [`MAX_BUFFERED_BYTES`]. A separate thread writes the buffer out in one call
every [`WRITE_EVERY`]. While the buffer is at least half full, records of level
debug and trace (those of served requests) are dropped; while it is full, all
records are. Dropped records are counted, and the writer thread logs the counts
after its next write.
*/

use {
    spdlog::{
        ErrorHandler, Level, LevelFilter, Logger, Record, StringBuf,
        formatter::{Formatter, FormatterContext, JsonFormatter},
        sink::{Sink, SinkPropAccess},
    },
    std::{
        io::{self, Write as _},
        mem,
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Most bytes of formatted records that wait to be written: the output of a
/// busy instance over some seconds.
pub const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// Time between two writes: long enough for few system calls, short enough to
/// follow the log live.
pub const WRITE_EVERY: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    lines: Vec<u8>,
    dropped_routine: u64,
    dropped_others: u64,
    is_finishing: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    finishing: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        // A panic while the lock was held leaves the buffer valid.
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sink that appends formatted records to the buffer.
struct BufferSink {
    shared: Arc<Shared>,
    formatter: JsonFormatter,
    min_level: LevelFilter,
}

impl SinkPropAccess for BufferSink {
    fn level_filter(&self) -> LevelFilter {
        self.min_level
    }

    fn set_level_filter(&self, _level_filter: LevelFilter) {}

    fn set_formatter(&self, _formatter: Box<dyn Formatter>) {}

    fn set_error_handler(&self, _handler: ErrorHandler) {}
}

impl Sink for BufferSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let mut buffer = self.shared.lock();
        let is_routine = matches!(record.level(), Level::Debug | Level::Trace);
        let len = buffer.lines.len();
        if len >= MAX_BUFFERED_BYTES {
            buffer.dropped_others += 1;
            return Ok(());
        }
        if is_routine && len >= MAX_BUFFERED_BYTES / 2 {
            buffer.dropped_routine += 1;
            return Ok(());
        }
        let mut line = StringBuf::new();
        let mut cx = FormatterContext::new();
        self.formatter.format(record, &mut line, &mut cx)?;
        buffer.lines.extend_from_slice(line.as_bytes());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Handle to the thread that writes log lines.
#[derive(Debug)]
pub struct LogWriter {
    shared: Arc<Shared>,
    writer: Option<JoinHandle<()>>,
}

impl LogWriter {
    /// Writes the remaining lines and stops the thread.
    pub fn finish(mut self) {
        self.shared.lock().is_finishing = true;
        self.shared.finishing.notify_all();
        if let Some(writer) = self.writer.take() {
            // If the thread panicked, there is nothing left to wait for.
            let _ = writer.join();
        }
    }
}

/// Directs log records to standard output, one JSON object a line.
///
/// Records of level debug, which served requests log, are included only if
/// `with_routine` is set.
#[must_use]
pub fn start_logging(with_routine: bool) -> LogWriter {
    let shared = Arc::new(Shared::default());
    let min_level = if with_routine {
        LevelFilter::MoreSevereEqual(Level::Debug)
    } else {
        LevelFilter::MoreSevereEqual(Level::Info)
    };
    let sink = BufferSink {
        shared: Arc::clone(&shared),
        formatter: JsonFormatter::new(),
        min_level,
    };
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(min_level)
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
    let writer_shared = Arc::clone(&shared);
    let writer = thread::Builder::new()
        .name("log-lines".to_owned())
        .spawn(move || write_lines(&writer_shared))
        .ok();
    LogWriter { shared, writer }
}

fn write_lines(shared: &Shared) {
    let mut out = io::stdout();
    loop {
        let (lines, dropped, is_finishing) = wait_for_lines(shared);
        // If standard output is closed the lines are lost; there is no other
        // output on which to report that.
        let _ = out.write_all(&lines);
        if dropped != (0, 0) {
            crate::event!(LOG_LINES_DROPPED, routine = dropped.0, others = dropped.1);
        }
        let _ = out.flush();
        if is_finishing {
            return;
        }
    }
}

fn wait_for_lines(shared: &Shared) -> (Vec<u8>, (u64, u64), bool) {
    let buffer = shared.lock();
    let waited = shared
        .finishing
        .wait_timeout_while(buffer, WRITE_EVERY, |buffer| !buffer.is_finishing);
    let (mut buffer, _) = waited.unwrap_or_else(PoisonError::into_inner);
    let lines = mem::take(&mut buffer.lines);
    let dropped = (
        mem::take(&mut buffer.dropped_routine),
        mem::take(&mut buffer.dropped_others),
    );
    (lines, dropped, buffer.is_finishing)
}
