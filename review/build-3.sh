#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start. It needs nothing but the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins review/standins-3/main.rs
