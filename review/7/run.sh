#!/bin/sh
cd "$(dirname "$0")/../.." && exec python3 review/7/case.py
