//! The lines that wait to be written.

use std::{
    io::{BufWriter, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

/// Lines that may wait: some seconds' worth at the usual rate, a few megabytes at the most.
const WAITING: usize = 4_096;
/// Lines that are written in one go, so that a busy process writes seldom.
const AT_ONCE: usize = 256;
/// How long lines are collected before they are written.
const COLLECT: Duration = Duration::from_millis(50);

/// A queue with a thread that empties it.
#[derive(Clone, Debug)]
pub struct Queue {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// A queue whose lines go to an output.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (lines, waiting) = sync_channel(WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&dropped);
        thread::spawn(move || write(BufWriter::new(output), &waiting, &count));
        Self { lines, dropped }
    }

    /// Adds a line, or drops it and counts it.
    pub fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write(mut output: BufWriter<impl Write>, waiting: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = waiting.recv() {
        // a reader that is gone takes the lines with it, but not the process
        let _ = writeln!(output, "{first}");
        thread::sleep(COLLECT);
        for line in waiting.try_iter().take(AT_ONCE) {
            let _ = writeln!(output, "{line}");
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = writeln!(
                output,
                "{{\"level\":\"WARN\",\"message\":\"lines of the log were dropped\",\"lines\":{lost}}}"
            );
        }
        let _ = output.flush();
    }
}
