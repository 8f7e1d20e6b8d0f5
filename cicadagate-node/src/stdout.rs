/*!
Log lines on standard output, without ever waiting for it.

# Problem

A process must not stand still because nobody reads its log, and a log that
grows without bound under load is a fault of its own.

# Choice

Lines are formatted where they arise and put into a buffer of
[`MAX_BUFFERED_BYTES`]. A thread writes the buffer out every
[`WRITE_EVERY`], in one piece. While the buffer is more than half full, lines
of served requests are dropped; once it is full, all are. What was dropped is
counted and said in a line as soon as there is room.
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

/// Bytes of lines that wait to be written: some seconds of a busy instance.
pub const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// Time between two writes: few system calls, and lines soon enough to follow.
pub const WRITE_EVERY: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    lines: Vec<u8>,
    dropped_routine: u64,
    dropped: u64,
    is_ending: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    ending: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        // A buffer of lines stays usable whatever its last user did.
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Puts formatted lines into the buffer.
struct BufferSink {
    shared: Arc<Shared>,
    formatter: JsonFormatter,
    least: LevelFilter,
}

impl SinkPropAccess for BufferSink {
    fn level_filter(&self) -> LevelFilter {
        self.least
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
            buffer.dropped += 1;
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

/// The thread that writes lines.
#[derive(Debug)]
pub struct Lines {
    shared: Arc<Shared>,
    writer: Option<JoinHandle<()>>,
}

impl Lines {
    /// Writes what is left and ends the thread.
    pub fn finish(mut self) {
        self.shared.lock().is_ending = true;
        self.shared.ending.notify_all();
        if let Some(writer) = self.writer.take() {
            // A writer that has panicked has nothing left to say.
            let _ = writer.join();
        }
    }
}

/// Sends log records to standard output, one JSON object a line.
///
/// Lines of served requests are left out unless `with_routine`.
#[must_use]
pub fn start(with_routine: bool) -> Lines {
    let shared = Arc::new(Shared::default());
    let least = if with_routine {
        LevelFilter::MoreSevereEqual(Level::Debug)
    } else {
        LevelFilter::MoreSevereEqual(Level::Info)
    };
    let sink = BufferSink {
        shared: Arc::clone(&shared),
        formatter: JsonFormatter::new(),
        least,
    };
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(least)
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
    let writing = Arc::clone(&shared);
    let writer = thread::Builder::new()
        .name("log-lines".to_owned())
        .spawn(move || write_lines(&writing))
        .ok();
    Lines { shared, writer }
}

fn write_lines(shared: &Shared) {
    let mut out = io::stdout();
    loop {
        let (lines, dropped, is_ending) = wait_for_lines(shared);
        // Without a reader the lines are lost; there is nowhere else to say so.
        let _ = out.write_all(&lines);
        if dropped != (0, 0) {
            crate::event!(LOG_LINES_DROPPED, routine = dropped.0, others = dropped.1);
        }
        let _ = out.flush();
        if is_ending {
            return;
        }
    }
}

fn wait_for_lines(shared: &Shared) -> (Vec<u8>, (u64, u64), bool) {
    let buffer = shared.lock();
    let waited = shared
        .ending
        .wait_timeout_while(buffer, WRITE_EVERY, |buffer| !buffer.is_ending);
    let (mut buffer, _) = waited.unwrap_or_else(PoisonError::into_inner);
    let lines = mem::take(&mut buffer.lines);
    let dropped = (
        mem::take(&mut buffer.dropped_routine),
        mem::take(&mut buffer.dropped),
    );
    (lines, dropped, buffer.is_ending)
}
