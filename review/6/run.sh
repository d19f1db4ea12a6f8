#!/usr/bin/env bash
cd "$(dirname "$0")"
exec timeout --signal=TERM 118 python3 case.py
