#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 with the installed compiler: the standard library alone, no packages.
# build.sh builds them as well, as it does with every numbered folder.
set -eu
cd "$(dirname "$0")"
mkdir -p target
for case in 6 7 8 9 10; do
    rustc --edition 2024 -O -o "target/case$case" "$case/main.rs"
done
