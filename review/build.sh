#!/bin/sh
# Builds the stand-ins that the cases start: one program a case, from review/standins, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/standins/case*.rs; do
    rustc --edition 2021 -O -o "review/bin/$(basename "$source" .rs)" "$source"
done
