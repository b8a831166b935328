#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, without libraries, into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins review/standins-3/main.rs
