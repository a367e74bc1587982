//! A bounded queue of log lines in front of an output such as standard output.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The capacity of the queue, in lines. A busy entry writes some hundred lines per second, so the
/// queue holds several seconds of logs and takes at most a few megabytes.
const QUEUE_CAPACITY: usize = 4096;

/// The delay after the first line of a batch, during which further lines are collected.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// The longest time that a flush waits for the queued lines, such as at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A writer that never blocks: lines beyond the capacity of the queue are dropped and counted.
#[derive(Debug)]
pub struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    queued: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts a thread that writes the queued lines to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
        let queue = Self {
            sender,
            queued: Arc::default(),
            dropped: Arc::default(),
        };
        let (queued, dropped) = (Arc::clone(&queue.queued), Arc::clone(&queue.dropped));
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_batches(out, &receiver, &queued, &dropped))?;
        Ok(queue)
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.queued.fetch_add(1, Ordering::AcqRel);
        if self.sender.try_send(line.to_vec()).is_err() {
            self.queued.fetch_sub(1, Ordering::AcqRel);
            self.dropped.fetch_add(1, Ordering::AcqRel);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.queued.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }
}

fn write_batches(
    mut out: impl Write,
    lines: &Receiver<Vec<u8>>,
    queued: &AtomicUsize,
    dropped: &AtomicU64,
) {
    while let Ok(mut batch) = lines.recv() {
        let mut count = 1;
        thread::sleep(BATCH_DELAY);
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let lost = dropped.swap(0, Ordering::AcqRel);
        if lost > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"lines\":{lost}}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
        }
        // A write error is ignored: a failing log must not stop the process and cannot be reported.
        let _ = out.write_all(&batch);
        let _ = out.flush();
        queued.fetch_sub(count, Ordering::AcqRel);
    }
}
