#!/usr/bin/env bash
# Builds the cases of this review into target/review-3/. They need the build of
# the deploy file for the project's own programs, and no network.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review-3
mkdir -p "$out"
for source in 1[1-5]/case.cc; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$out/case-$(dirname "$source")"
done
