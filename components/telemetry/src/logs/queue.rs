//! The lines that wait to be written.

use std::{
    io::{BufWriter, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Lines that may wait: some seconds' worth at the usual rate, a few megabytes at the most.
const CAPACITY: usize = 4_096;
/// Lines that are written in one go, so that a busy process writes seldom.
const MAX_BATCH_LINES: usize = 256;
/// How long lines are collected before they are written.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Between two tries to reach a thread whose queue is full.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// What waits for the thread that writes.
#[derive(Debug)]
enum Message {
    /// A line.
    Line(String),
    /// Somebody waits until all that came before is written; dropping this says so.
    Flush(SyncSender<()>),
}

/// A queue with a thread that empties it.
#[derive(Clone, Debug)]
pub struct Queue {
    messages: SyncSender<Message>,
    shared: Arc<Shared>,
}

/// What both sides of the queue see.
#[derive(Debug, Default)]
struct Shared {
    /// Lines that were dropped since this was told last.
    dropped: AtomicU64,
    /// Whether somebody waits for the lines to be written.
    flushing: AtomicBool,
}

impl Queue {
    /// A queue whose lines go to an output.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (messages, receiver) = sync_channel(CAPACITY);
        let shared = Arc::<Shared>::default();
        let writer_shared = Arc::clone(&shared);
        thread::spawn(move || write(BufWriter::new(output), &receiver, &writer_shared));
        Self { messages, shared }
    }

    /// Adds a line, or drops it and counts it.
    pub fn push(&self, line: String) {
        if self.messages.try_send(Message::Line(line)).is_err() {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines so far are written, for so long at most: a reader that doesn't read must not keep a
    /// process from ending.
    pub fn flush(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        self.shared.flushing.store(true, Ordering::Relaxed);
        let (done, written) = sync_channel(0);
        let mut message = Message::Flush(done);
        while let Err(TrySendError::Full(unsent)) = self.messages.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            message = unsent;
            thread::sleep(FLUSH_RETRY_INTERVAL);
        }
        // an error is how the thread says that it has written; or the time is over
        let _ = written.recv_timeout(deadline.saturating_duration_since(Instant::now()));
        self.shared.flushing.store(false, Ordering::Relaxed);
    }
}

fn write(mut output: BufWriter<impl Write>, receiver: &Receiver<Message>, shared: &Shared) {
    while let Ok(first) = receiver.recv() {
        let mut flushes = Vec::new();
        let mut handle = |message| match message {
            // a reader that is gone takes the lines with it, but not the process
            Message::Line(line) => drop(writeln!(output, "{line}")),
            Message::Flush(done) => flushes.push(done),
        };
        handle(first);
        if !shared.flushing.load(Ordering::Relaxed) {
            thread::sleep(BATCH_DELAY);
        }
        let limit = if shared.flushing.load(Ordering::Relaxed) {
            CAPACITY
        } else {
            MAX_BATCH_LINES
        };
        receiver.try_iter().take(limit).for_each(handle);
        let dropped = shared.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(
                output,
                "{{\"level\":\"WARN\",\"message\":\"lines of the log were dropped\",\"lines\":{dropped}}}"
            );
        }
        let _ = output.flush();
        drop(flushes);
    }
}
