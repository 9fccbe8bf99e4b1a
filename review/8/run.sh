#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Without the disruption: TROUBLE=0. What happened is in record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/graderelay.jar ] || [ ! -f target/review-2/review2/SickMachine.class ]; then
  echo "not built: run the build of deploy/service.toml and then review/build-2.sh" >&2
  exit 2
fi
exec java -Xmx256m -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.idleInterval=300 \
  -Dsun.net.httpserver.maxIdleConnections=2000 -cp target/review-2:target/graderelay.jar \
  review2.SickMachine review/8/record.txt
