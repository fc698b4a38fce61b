#!/usr/bin/env bash
# Runs fault soaks of forwarding boxes as real processes, one for each seed:
#   tools/soak.sh [--seeds N] [--first S] [--minutes M] [--boxes N]
# Prints a line for each finding and each seed, then the total number of calls,
# faults, checks and findings by kind, and how many seeds had findings. Keeps the
# logs of those seeds in run/soak/SEED and removes the others'. To list the
# faults of a seed: build/soak schedule --seed=S. Terminates only processes that
# it has started, also when it is interrupted.
set -euo pipefail
. "$(dirname "$0")/lib.sh"

SEEDS=10 FIRST=1 MINUTES=0.5 BOXES=6
while [ $# -gt 1 ]; do
  case $1 in
    --seeds) SEEDS=$2 ;;
    --first) FIRST=$2 ;;
    --minutes) MINUTES=$2 ;;
    --boxes) BOXES=$2 ;;
    *) break ;;
  esac
  shift 2
done
if [ $# -gt 0 ]; then
  sed -n '3p' "$0" >&2
  exit 2
fi

install_packages
build --target soak pinford standin >/dev/null
FAULT_SECONDS=$(awk -v m="$MINUTES" 'BEGIN { print int(m * 60 + 0.5) }')
RUNNERS=$((BOXES / 2 + 5))
HALLS=$((BOXES < 20 ? 2 : 5))
OUT=$ROOT/run/soak
COUNTS=$OUT/counts-$FIRST-$BOXES
mkdir -p "$OUT"
rm -f "$COUNTS"

end_child_with_script

found=()
for seed in $(seq "$FIRST" $((FIRST + SEEDS - 1))); do
  rm -rf "${OUT:?}/$seed"
  if run_child "$BUILD/soak" --seed="$seed" --seconds="$FAULT_SECONDS" \
    --boxes="$BOXES" --runners="$RUNNERS" --halls="$HALLS" \
    --callers=$((4 * BOXES)) --directory="$OUT/$seed" \
    --counts="$COUNTS"; then
    rm -rf "${OUT:?}/$seed"
  else
    found+=("$seed")
  fi
done
[ ! -f "$COUNTS" ] || awk -F'\t' '
  { n[$1] += $2 }
  END { for (name in n) printf "%-32s %9d\n", name, n[name] }' "$COUNTS" | sort
echo "$SEEDS seeds, ${#found[@]} with findings: ${found[*]:-none}"
[ ${#found[@]} -eq 0 ]
