#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/target/. Needs the packages of
# deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
for it in */case.cc; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/case-${it%/case.cc}" "$it"
done
