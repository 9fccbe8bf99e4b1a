#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -f target/graderelay.jar ] && [ -f target/review/LateStart.class ] || { echo "build first"; exit 2; }
exec java -Xmx256m -cp target/review:target/graderelay.jar LateStart "$folder/record.txt"
