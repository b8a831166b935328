#!/bin/bash
# Builds the stand-ins of the second review. Needs no network and no library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standins-2/main.rs
