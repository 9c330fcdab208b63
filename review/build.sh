#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases; needs the Rust compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
