#!/usr/bin/env bash
# Builds the cases and stand-ins of the second review, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for it in review/*/case.cc; do
    number=$(basename "$(dirname "$it")")
    # Those of the first review have a build of their own.
    [ "$number" -ge 6 ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$it" -o "target/review-2/case-$number"
done
