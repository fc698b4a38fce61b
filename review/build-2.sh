#!/usr/bin/env bash
# Builds what the cases of this review start, under target/review-2: the
# project's stand-ins and one program for each case. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
cmake -S . -B "$out/standins" -DCMAKE_BUILD_TYPE=Release -DPINFORD_TESTS=ON
cmake --build "$out/standins" -j8 --target standin
for source in review/[4-8]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview -o "$out/case-$number" "$source"
done
