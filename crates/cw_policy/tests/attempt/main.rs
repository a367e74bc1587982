//! The attempt table: focused cases, and random histories against an oracle.

mod fixtures;
mod oracle;
mod world;

mod cases;
mod histories;
mod target_cases;
