#!/bin/sh
# Builds the stand-ins and the scenarios of the cases 4 to 8 into target/review-2. To be run after
# the build of the deploy file; needs nothing but the JDK and target/graderelay.jar (for its JSON).
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
find target/review-2 -name '*.class' -exec rm {} +
javac -nowarn -cp target/graderelay.jar -d target/review-2 \
  review/standins-2/*.java review/[4-8]/*.java
