#!/bin/sh
# Builds the cases of the second review, each with its stand-ins, into target/review-2. They use the standard
# library only. Run it from the root, after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6/case.rs review/7/case.rs review/8/case.rs review/9/case.rs review/10/case.rs; do
    [ -f "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review-2/case-$number" "$case"
done
