#!/bin/sh
# Compiles the stand-ins of the cases; they are Python files that use the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common [1-5]
