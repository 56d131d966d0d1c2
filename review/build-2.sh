#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 6 to 10 start. Needs no network and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
