#!/usr/bin/env bash
# Checks the format, builds with warnings as errors, and runs all tests; with
# --tidy it also runs the linter. The tests listed in KNOWN-RED.txt are printed
# and not run. The output ends with ctest's summary.
set -euo pipefail
. "$(dirname "$0")/lib.sh"

install_packages

mapfile -t SOURCES < <(cd "$ROOT" && find app util pinford platform \
  -name '*.cc' -o -name '*.h' | sort)
echo "== Format"
(cd "$ROOT" && clang-format --dry-run --Werror "${SOURCES[@]}")

echo "== Mutations of the soak"
"$ROOT/tools/soak_mutations.sh" --applies

echo "== Build"
build

if [ "${1:-}" = "--tidy" ]; then
  echo "== Lint"
  printf '%s\n' "${SOURCES[@]}" | grep '\.cc$' |
    (cd "$ROOT" && xargs -P "$(nproc)" -n 1 clang-tidy -p "$BUILD" --quiet \
      --extra-arg=-Wno-unknown-warning-option 2>/dev/null)
fi

if [ -s "$ROOT/KNOWN-RED.txt" ]; then
  echo "== Known red, passed over:"
  cat "$ROOT/KNOWN-RED.txt"
fi
RED=$(cut -d, -f1 "$ROOT/KNOWN-RED.txt" 2>/dev/null | paste -sd'|' || true)

echo "== Tests"
cd "$BUILD"
ctest --output-on-failure -j "$(nproc)" ${RED:+-E "^($RED)\$"}
