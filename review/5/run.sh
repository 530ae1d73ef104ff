#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/case5 ] || exit 2
exec ../bin/case5 .
