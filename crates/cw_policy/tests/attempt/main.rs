//! Tests of the attempt table: single cases, and random histories checked against an oracle.

mod fixtures;
mod oracle;
mod world;

mod cases;
mod histories;
mod target_cases;
