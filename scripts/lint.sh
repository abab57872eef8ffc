#!/usr/bin/env bash
# Checks the format of all C++ files and runs clang-tidy. With --fix it formats instead of checking.
# clang-tidy results are cached by content, so that a second run is quick.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' \
    | grep -v '/generated/' | while read -r f; do [ -f "$f" ] && echo "$f"; done)
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
fi

# A file is checked again when it, any header of the project or the check list has changed.
state=$(cat .clang-tidy $(printf '%s\n' "${files[@]}" | grep '\.h$') | sha256sum | cut -d' ' -f1)
export TIDY_CACHE="${XDG_CACHE_HOME:-$HOME/.cache}/oriolerill-tidy"
mkdir -p "$TIDY_CACHE"
check() {
    local file=$1 key
    key=$(echo "$2 $(sha256sum "$file")" | sha256sum | cut -d' ' -f1)
    [ -e "$TIDY_CACHE/$key" ] && return 0
    clang-tidy -p build --quiet "$file" 2>/dev/null && touch "$TIDY_CACHE/$key"
}
export -f check
printf '%s\n' "${files[@]}" | grep '\.cpp$' \
    | xargs -P "$(nproc)" -I{} bash -c 'check "$1" "$2" || exit 1' _ {} "$state"
echo "lint: ${#files[@]} files clean"
