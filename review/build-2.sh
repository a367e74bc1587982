#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start. It needs nothing but the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs
