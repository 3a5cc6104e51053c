#!/bin/bash
# An executor hangs while a connection to it is full: are two attempts of a request ever out at once?
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
here=review/3
rm -f "$here/record.txt"
if [ ! -x target/release/badgerwind ] || [ ! -x review/bin/case3 ]; then
    echo "build first: the build line of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
program=
finish() {
    # All that the program started ends with it; the program itself ends with this script, also where that is killed.
    [ -z "$program" ] || kill -KILL "$program" 2>/dev/null
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
# In the background, so that a signal to this script is handled at once. It ends by itself after 110 s at the latest.
review/bin/case3 "$folder" "$here/record.txt" &
program=$!
wait "$program"
code=$?
program=
grep ' judge ' "$here/record.txt" 2>/dev/null | tail -n 5
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
