#!/bin/sh
# 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
timeout -k 5 110 .venv/bin/python -B "$here/case.py"
case $? in 10) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
