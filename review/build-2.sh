#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.  They are Python files that run with the
# interpreter of the deploy file's build, so building them means compiling them.
set -eu
cd "$(dirname "$0")/.."
for folder in review/common-2 review/6 review/7 review/8 review/9 review/10; do
    if [ -d "$folder" ]; then
        .venv/bin/python -m compileall -q "$folder"
    fi
done
