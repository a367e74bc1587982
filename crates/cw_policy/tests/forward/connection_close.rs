//! Tests of the end of a caller's connection at a process that ends.

use cw_policy::forward::CloseStep;
use cw_policy::forward::ConnectionClose;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixtures::at;

/// Guards against a connection that is closed with a request in its socket, and against one that keeps a process from ending.
#[test]
fn a_connection_closes_after_a_quiet_moment_and_at_the_latest_after_a_second() {
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut close = ConnectionClose::new(at(0));
        let (mut now, mut last_bytes) = (0, 0);
        // The whole of a request that arrives is read, and answered, some time after it.
        let mut unread_until = rng.random_range(0..400);
        loop {
            let has_bytes = now < unread_until;
            let step = close.next_step(at(now), has_bytes);
            if has_bytes {
                last_bytes = now;
            }
            match step {
                CloseStep::Close if now < 1000 => {
                    assert!(!has_bytes, "seed {seed}");
                    assert!(now >= last_bytes + 50, "seed {seed}");
                    break;
                }
                CloseStep::Close => break,
                CloseStep::Serve(pause) => {
                    assert!(now < 1000, "seed {seed}");
                    now += u64::try_from(pause.as_millis()).unwrap().max(1);
                }
            }
            if rng.random_bool(0.05) {
                unread_until = now + rng.random_range(1..2000);
            }
        }
    }
}
