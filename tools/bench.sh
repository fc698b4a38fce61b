#!/usr/bin/env bash
# Runs all benchmarks in sequence and prints their tables. Those on a paused
# clock give the same results on every run; the last three depend on the machine.
set -euo pipefail
. "$(dirname "$0")/lib.sh"

install_packages
build >/dev/null
for name in chain_choice overload; do
  echo "== $name (paused clock)"
  "$BUILD/${name}_benchmark"
done
echo "== slope"
"$BUILD/slope_benchmark" --benchmark_min_time=0.2 2>/dev/null
for name in box_cost control_cost recovery; do
  echo "== $name (processes)"
  "$BUILD/${name}_benchmark"
done
