#!/usr/bin/env bash
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}"
exec timeout --signal=TERM 118 python3 case.py
