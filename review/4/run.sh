#!/bin/sh
cd "$(dirname "$0")/../.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review exec python3 review/4/case.py
