#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/11 to review/15. Standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -A warnings -o "target/review-3/case-$number" "$source"
done
