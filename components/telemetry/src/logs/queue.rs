//! The queue of log lines and the thread that writes them.

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

/// Maximum number of queued lines: some seconds' worth at the usual rate, and a few megabytes at most.
const MAX_QUEUED_LINES: usize = 4_096;
/// Maximum number of lines written at once; writing in batches keeps the number of writes low in a busy process.
const MAX_BATCH_LINES: usize = 256;
/// Time for which lines are collected before they are written.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Time between attempts to queue a flush while the queue is full.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A message to the writer thread.
#[derive(Debug)]
enum Message {
    /// A line to write.
    Line(String),
    /// Flushes all lines queued before it; the sender is dropped once they are written.
    Flush(SyncSender<()>),
}

/// A bounded queue of lines with a thread that writes them.
#[derive(Clone, Debug)]
pub struct Queue {
    messages: SyncSender<Message>,
    shared: Arc<Shared>,
}

/// State shared by the queue's users and its writer thread.
#[derive(Debug, Default)]
struct Shared {
    /// Lines dropped since this was last logged.
    dropped: AtomicU64,
    /// Whether a flush is in progress. Stays set after a flush that could not be queued in time, so that the writer
    /// no longer collects lines before it writes.
    flushing: AtomicBool,
}

impl Queue {
    /// Starts a thread that writes to `output`, and returns its queue.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (messages, receiver) = sync_channel(MAX_QUEUED_LINES);
        let shared = Arc::<Shared>::default();
        let writer_shared = Arc::clone(&shared);
        thread::spawn(move || write(BufWriter::new(output), &receiver, &writer_shared));
        Self { messages, shared }
    }

    /// Queues a line, or drops and counts it if the queue is full.
    pub fn push(&self, line: String) {
        if self.messages.try_send(Message::Line(line)).is_err() {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines queued so far are written, up to `timeout`: output that nobody reads must not keep a
    /// process from exiting.
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
        // receives an error when the writer drops the sender after writing, or on timeout
        let _ = written.recv_timeout(deadline.saturating_duration_since(Instant::now()));
        self.shared.flushing.store(false, Ordering::Relaxed);
    }
}

fn write(mut output: BufWriter<impl Write>, receiver: &Receiver<Message>, shared: &Shared) {
    while let Ok(first) = receiver.recv() {
        let mut flushes = Vec::new();
        let mut handle = |message| match message {
            // lines are lost if nobody reads the output any more, but the process goes on
            Message::Line(line) => drop(writeln!(output, "{line}")),
            Message::Flush(done) => flushes.push(done),
        };
        handle(first);
        if !shared.flushing.load(Ordering::Relaxed) {
            thread::sleep(BATCH_DELAY);
        }
        let limit = if shared.flushing.load(Ordering::Relaxed) {
            MAX_QUEUED_LINES
        } else {
            MAX_BATCH_LINES
        };
        receiver.try_iter().take(limit).for_each(handle);
        let dropped = shared.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(
                output,
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"lines\":{dropped}}}"
            );
        }
        let _ = output.flush();
        drop(flushes);
    }
}
