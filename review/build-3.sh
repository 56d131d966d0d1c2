#!/bin/sh
# Builds what the scripts of cases 11 to 15 start beside the project's own programs: one stand-in of the
# platform, the workers and the clients, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin review/standin-3/main.rs
