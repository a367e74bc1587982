//! Tests that writing logs never blocks the process.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;

use cyclamenwharf::LineQueue;

/// An output that blocks until it is released.
struct BlockedOutput {
    release: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Dropping the sender releases this output permanently.
        let _ = self.release.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_capacity_are_dropped_and_counted() {
    let (release, blocked) = channel();
    let written = Arc::<Mutex<Vec<u8>>>::default();
    let out = BlockedOutput {
        release: blocked,
        written: Arc::clone(&written),
    };
    let mut queue = LineQueue::start(out).unwrap();

    for number in 0..20_000 {
        writeln!(queue, "line {number}").unwrap();
    }
    drop(release);
    queue.write_all(b"last\n").unwrap();
    let text = loop {
        queue.flush().unwrap();
        let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
        if text.contains("log lines were dropped") {
            break text;
        }
        queue.write_all(b"once more\n").unwrap();
    };

    assert!(text.starts_with("line 0\n"));
    assert!(text.lines().count() < 20_000);
}
