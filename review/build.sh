#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python files of this folder, run as they are.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q .
