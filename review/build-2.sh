#!/bin/sh
# Prepares what the scripts of cases 6 and later start. The stand-ins of `standins-2` are Python 3 programs that use
# the standard library alone, so there is nothing to compile; the project's own stand-ins that they start (the list
# service: `badgerwind standin list`) are part of the program that the deploy file builds.
cd "$(dirname "$0")/.." || exit 1
command -v python3 >/dev/null || { echo "python3 is needed"; exit 1; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "python3 3.9 or later is needed"; exit 1; }
[ -x target/release/badgerwind ] || cargo build --release --locked -p badgerwind-adapter -p badgerwind-cli || exit 1
target/release/badgerwind standin list --help >/dev/null || exit 1
