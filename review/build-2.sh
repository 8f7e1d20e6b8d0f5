#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They use only the standard library, so that this
# needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/review-2 review/harness-2/main.rs
