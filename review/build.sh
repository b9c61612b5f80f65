#!/bin/sh
# Builds the stand-ins of all cases: one program without dependencies, outside the workspace.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -D warnings -o bin/stand-in stand-in/main.rs
