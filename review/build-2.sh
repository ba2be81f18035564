#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/5 to review/8, into target/: run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake --build target --target standin-store
mkdir -p target/review-2
for source in review/[5-8]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -pthread -o "target/review-2/case-$number" "$source"
done
