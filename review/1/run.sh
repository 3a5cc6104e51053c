#!/bin/bash
# One client sends 600 requests at once: do the usual clients still get their answers?
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
here=review/1
rm -f "$here/record.txt"
if [ ! -x target/release/badgerwind ] || [ ! -x review/bin/case1 ]; then
    echo "build first: the build line of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
ended=
finish() {
    # The program ends what it started. Where it was interrupted itself, the ids that it wrote tell what is left.
    if [ -z "$ended" ] && [ -f "$folder/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$folder/pids"
    fi
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 2 112 review/bin/case1 "$folder" "$here/record.txt"
code=$?
case $code in 0 | 1 | 2) ended=yes ;; esac
grep ' judge ' "$here/record.txt" 2>/dev/null | tail -n 5
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
