#!/bin/sh
# Exits with 1 if a rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec python3 review/7/run.py
