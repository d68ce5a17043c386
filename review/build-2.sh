#!/bin/sh
# Builds the stand-ins that the scripts of this review start, the project's own stand-ins with them.
set -e
cd "$(dirname "$0")/.."
CARGO_INCREMENTAL=0 cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target
