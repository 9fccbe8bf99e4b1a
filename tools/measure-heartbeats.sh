#!/usr/bin/env bash
# Measures heartbeats, exited attempts in them and raises of the term in the simulated world. Not part of CI.
set -eu
cd "$(dirname "$0")/.."
mvn -q -B -ntp test-compile
mvn -q -B -ntp org.apache.maven.plugins:maven-dependency-plugin:3.6.1:build-classpath \
  -Dmdep.outputFile=target/test-classpath.txt -Dmdep.includeScope=test
exec java -Xmx2g -Djava.util.logging.config.file=src/test/resources/logging.properties \
  -cp "target/test-classes:target/classes:$(cat target/test-classpath.txt)" graderelay.worker.HeartbeatMeasurement "$@"
