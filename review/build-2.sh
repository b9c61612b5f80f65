#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. They need the standard library alone; nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O --crate-name review_case -o target/review-2/case review/stand-ins-2/main.rs
