//! A bounded queue of log lines before standard output.

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

/// The most lines that wait. A busy entry writes some hundred lines a second, so this is several
/// seconds of them, and at most a few megabytes.
const LINES_MAX: usize = 4096;

/// How long lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(50);

/// How long the end of a process waits for its last lines.
const FLUSH_MAX: Duration = Duration::from_millis(200);

/// Takes lines without ever waiting for whoever reads them: what does not fit is counted.
#[derive(Debug)]
pub struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts a thread that writes to `out` what is put into the queue.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(LINES_MAX);
        let queue = Self {
            sender,
            waiting: Arc::default(),
            dropped: Arc::default(),
        };
        let (waiting, dropped) = (Arc::clone(&queue.waiting), Arc::clone(&queue.dropped));
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_out(out, &receiver, &waiting, &dropped))?;
        Ok(queue)
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        if self.sender.try_send(line.to_vec()).is_err() {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            self.dropped.fetch_add(1, Ordering::AcqRel);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let end = Instant::now() + FLUSH_MAX;
        while self.waiting.load(Ordering::Acquire) > 0 && Instant::now() < end {
            thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }
}

fn write_out(
    mut out: impl Write,
    lines: &Receiver<Vec<u8>>,
    waiting: &AtomicUsize,
    dropped: &AtomicU64,
) {
    while let Ok(mut batch) = lines.recv() {
        let mut count = 1;
        thread::sleep(GATHER);
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
        // A log that cannot be written must not stop the process, and there is nowhere to say so.
        let _ = out.write_all(&batch);
        let _ = out.flush();
        waiting.fetch_sub(count, Ordering::AcqRel);
    }
}
