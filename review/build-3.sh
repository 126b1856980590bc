#!/bin/sh
# Builds the stand-ins of cases 11 and up, without a network, into target/review-3.
set -eu
cd "$(dirname "$0")/.."
cargo build --locked --offline --release --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
