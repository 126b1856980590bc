#!/bin/sh
# Builds the stand-in that the scripts of cases 6 to 10 start, without a network.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --locked --offline --release \
    --manifest-path review/standin-2/Cargo.toml
