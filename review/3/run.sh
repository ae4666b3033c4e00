#!/bin/sh
# 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
timeout -k 5 110 .venv/bin/python -B "review/$(basename "$(dirname "$(readlink -f "$0" 2>/dev/null || echo "$0")")")/case.py"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
