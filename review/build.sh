#!/usr/bin/env bash
# Builds the stand-ins that the cases start, the project's own included. Needs the build of the deploy file before
# it, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --offline --release --manifest-path review/standin/Cargo.toml --target-dir target/review
