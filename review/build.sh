#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts: a program for each case. Needs
# g++ and nlohmann-json3-dev, which the deploy file declares.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cc; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "bin/case-${source%%/*}" "$source"
done
