#!/bin/bash
# Builds the stand-ins of the review's scripts: one program, without any dependency.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
