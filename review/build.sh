#!/bin/sh
# Builds the stand-ins that the scripts in review/ start. Needs the standard library alone.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
