#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. They are modules of
# review/stands3 that need Python 3.11 and its standard library only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/stands3 review/11 review/12
