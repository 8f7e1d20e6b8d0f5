#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program for each script.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O --crate-type rlib --crate-name harness -o target/review/libharness.rlib review/harness/lib.rs
for source in review/*/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O --extern harness=target/review/libharness.rlib -o "target/review/case-$number" "$source"
done
