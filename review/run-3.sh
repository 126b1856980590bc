#!/bin/sh
# Plays a case: run-3.sh FOLDER PROGRAM. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. Ends all processes that the case started.
folder=$1
program=$2
root=$(cd "$(dirname "$0")/.." && pwd)
entry=$root/target/release/zincpier-entry
standin=$root/target/review-3/release/$program
[ -x "$entry" ] && [ -x "$standin" ] || { echo "not built: see review/build-3.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
finish() {
    for file in "$work"/*.pid; do
        [ -f "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
cd "$root" || exit 2
timeout 115 "$standin" "$entry" "$work" "$folder/record.txt"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
