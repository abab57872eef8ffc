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

# docs/platform.md names the code that decodes each field; a name that platform/ does not contain is an error.
missing=$(awk -F'|' '/^\| on the pages \|/ { inside = 1; next } !/^\|/ { inside = 0 }
    inside { while (match($3, /`[A-Za-z.]+`/)) { print substr($3, RSTART + 1, RLENGTH - 2); $3 = substr($3, RSTART + RLENGTH) } }' \
    docs/platform.md | while read -r name; do
    [ -e "platform/$name" ] || grep -qrw --include='*.cpp' --include='*.h' -- "$name" platform || echo "$name"
done)
if [ -n "$missing" ]; then
    echo "lint: docs/platform.md names code that platform/ does not contain:" $missing >&2
    exit 1
fi

# A file is checked again when it, a header of the project that it includes, or the check list has
# changed. The includes come from the dependency log of the build.
export TIDY_CACHE="${XDG_CACHE_HOME:-$HOME/.cache}/oriolerill-tidy"
mkdir -p "$TIDY_CACHE" build/lint
ninja -C build -t deps | awk -v root="$PWD/" '
    /^[^ ].*: #deps/ { object = $1 }
    /^    / {
        path = $1
        sub("^" root, "", path)
        sub("^\\.\\./", "", path)
        if (path ~ /^(src|standins|tests)\// && path !~ /\/generated\//)
            files[object] = files[object] " " path
    }
    END { for (object in files) print files[object] }' > build/lint/includes

check() {
    local file=$1 includes key
    includes=$(awk -v file="$file" '$1 == file { $1 = ""; print; exit }' build/lint/includes)
    # shellcheck disable=SC2086
    key=$(cat .clang-tidy "$file" $includes 2>/dev/null | sha256sum | cut -d' ' -f1)
    [ -e "$TIDY_CACHE/$key" ] && return 0
    clang-tidy -p build --quiet "$file" 2>/dev/null && touch "$TIDY_CACHE/$key"
}
export -f check
printf '%s\n' "${files[@]}" | grep '\.cpp$' \
    | xargs -P "$(nproc)" -I{} bash -c 'check "$1" || exit 1' _ {}
echo "lint: ${#files[@]} files clean"
