#!/bin/sh
# Builds the stand-ins that the scripts of this review start, the project's own stand-ins with them.
set -e
cd "$(dirname "$0")/.."
for crate in standins-2 standins-3; do
    CARGO_INCREMENTAL=0 cargo build --release --locked --offline --manifest-path "review/$crate/Cargo.toml" --target-dir target
done
