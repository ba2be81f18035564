#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, one program a case, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[123]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins "$source" -o "target/review/case-$number"
done
