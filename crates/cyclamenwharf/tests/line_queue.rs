//! Logs never hold up the process that writes them.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;

use cyclamenwharf::LineQueue;

/// A reader of logs that takes nothing until it is let go.
struct Stuck {
    release: Receiver<()>,
    taken: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Whoever lets go drops the sender, which ends the wait for good.
        let _ = self.release.recv();
        self.taken.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_queue_are_counted_not_waited_for() {
    let (release, stuck) = channel();
    let taken = Arc::<Mutex<Vec<u8>>>::default();
    let out = Stuck {
        release: stuck,
        taken: Arc::clone(&taken),
    };
    let mut queue = LineQueue::start(out).unwrap();

    for number in 0..20_000 {
        writeln!(queue, "line {number}").unwrap();
    }
    drop(release);
    queue.write_all(b"last\n").unwrap();
    let text = loop {
        queue.flush().unwrap();
        let text = String::from_utf8(taken.lock().unwrap().clone()).unwrap();
        if text.contains("log lines were dropped") {
            break text;
        }
        queue.write_all(b"once more\n").unwrap();
    };

    assert!(text.starts_with("line 0\n"));
    assert!(text.lines().count() < 20_000);
}
