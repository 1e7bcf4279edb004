#!/bin/sh
# Builds the stand-ins that the cases start. Needs rustc only; no dependency, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in memory keyed spoilt; do
    rustc --edition 2024 -O -o "target/review/$case" "review/standins/$case.rs"
done
