#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top"
mkdir -p target/review
for source in review/[0-9]*/Case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/case-$name" "$source" review/standins/Http.cpp review/standins/Platform.cpp
done
