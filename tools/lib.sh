# Functions shared by the scripts in this directory, which source this file.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}

# Installs the missing packages of tools/packages.txt.
install_packages() {
  local missing=()
  local package
  while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
      grep -q 'install ok installed' || missing+=("$package")
  done < <(grep -v '^#' "$ROOT/tools/packages.txt")
  [ ${#missing[@]} -eq 0 ] && return 0
  local as_root=()
  [ "$(id -u)" -eq 0 ] || as_root=(sudo)
  echo "Installing: ${missing[*]}"
  "${as_root[@]}" apt-get update -q
  "${as_root[@]}" env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -q --no-install-recommends "${missing[@]}"
}

build() {
  cmake -S "$ROOT" -B "$BUILD" -G Ninja >/dev/null
  cmake --build "$BUILD" "$@"
}

# Runs a command and returns its exit code. If end_child_with_script was called
# before, the command is terminated and waited for when the script exits or is
# interrupted.
run_child() {
  local code=0
  "$@" &
  CHILD=$!
  wait "$CHILD" || code=$?
  CHILD=
  return "$code"
}

end_child_with_script() {
  CHILD=
  trap end_child EXIT
  trap 'exit 130' INT TERM HUP
}

end_child() {
  [ -n "$CHILD" ] || return 0
  kill "$CHILD" 2>/dev/null || true
  wait "$CHILD" 2>/dev/null || true
}
