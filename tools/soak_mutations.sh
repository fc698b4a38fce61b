#!/usr/bin/env bash
# Mutation tests of the soak: applies each patch of platform/testing/soak/mutations
# to a copy of the tree, one at a time, and runs seeds until the check that the
# patch names reports a finding:
#   tools/soak_mutations.sh [--applies] [NAME...]
# With --applies it only checks that the patches apply to the tree.
set -euo pipefail
. "$(dirname "$0")/lib.sh"

MAX_SEEDS=10
FAULT_SECONDS=30
MUTATIONS=$ROOT/platform/testing/soak/mutations

APPLIES=
if [ "${1:-}" = "--applies" ]; then
  APPLIES=1
  shift
fi
NAMES=("$@")
if [ ${#NAMES[@]} -eq 0 ]; then
  mapfile -t NAMES < <(cd "$MUTATIONS" && ls -- *.patch | sed 's/\.patch$//')
fi

if [ -n "$APPLIES" ]; then
  for name in "${NAMES[@]}"; do
    patch -d "$ROOT" -p1 --dry-run -s -f <"$MUTATIONS/$name.patch" || {
      echo "$name does not apply" >&2
      exit 1
    }
  done
  exit 0
fi

install_packages
COPY=$ROOT/run/mutations
rm -rf "$COPY"
mkdir -p "$COPY/logs"
(cd "$ROOT" && cp -r CMakeLists.txt app util pinford platform deploy examples \
  tools "$COPY")

end_child_with_script

# Sets FOUND_BY to the first seed with a finding of the check, or to the empty string.
first_seed_that_finds() {
  local check=$1 out=$2 seed
  for seed in $(seq "$MAX_SEEDS"); do
    run_child "$COPY/build/soak" --seed="$seed" \
      --seconds="$FAULT_SECONDS" >"$out" 2>&1 || true
    if grep -q "^seed $seed: $check: " "$out"; then
      FOUND_BY=$seed
      return
    fi
  done
  FOUND_BY=
}

failed=0
for name in "${NAMES[@]}"; do
  check=$(sed -n 's/^Check: //p' "$MUTATIONS/$name.patch")
  patch -d "$COPY" -p1 -s -f <"$MUTATIONS/$name.patch"
  ROOT=$COPY BUILD=$COPY/build build --target soak pinford standin >/dev/null
  first_seed_that_finds "$check" "$COPY/logs/$name.txt"
  if [ -n "$FOUND_BY" ]; then
    echo "$name: found by \"$check\" with seed $FOUND_BY"
  else
    echo "$name: not found by \"$check\" in $MAX_SEEDS seeds"
    failed=1
  fi
  patch -d "$COPY" -p1 -s -f -R <"$MUTATIONS/$name.patch"
done
exit $failed
