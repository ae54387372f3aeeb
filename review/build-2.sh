#!/bin/sh
# Builds the stand-ins that the scripts of this review start: plain Python, without any dependency.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review/support review/4 review/5 review/6 review/7 review/8
