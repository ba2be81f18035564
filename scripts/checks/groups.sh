#!/usr/bin/env bash
# The folders of src/libradishswitch include one another in one direction only, so that each can be read with those
# below it alone.
set -euo pipefail
cd "$(dirname "$0")/../../src/libradishswitch"

# One line an edge, "group included-group", and tsort names the groups of a circle.
edges=$(grep -roE '^#include "[a-z]+/' --include='*.h' --include='*.cpp' . \
    | sed -E 's|^\./([a-z]+)/[^:]*:#include "([a-z]+)/|\1 \2|' | awk '$1 != $2' | sort -u)
if ! order=$(tsort <<<"$edges" 2>&1); then
    echo "groups: folders of the core include one another in a circle:" >&2
    echo "$order" | grep '^tsort:' >&2
    exit 1
fi
echo "groups: $(wc -l <<<"$order") folders, no circle"

# Parts that several programs share know none of these programs, and programs know one another by messages alone.
cd ..
broken=$(
    for pair in libradishnet:fleet libradishnet:gateway libradishnet:home fleet:gateway fleet:home gateway:home home:gateway; do
        for header in "${pair#*:}"/*.h; do
            grep -lF "#include \"${header##*/}\"" "${pair%:*}"/*.h "${pair%:*}"/*.cpp || true
        done
    done
)
if [ -n "$broken" ]; then
    echo "groups: these include what lies above or beside them:" >&2
    echo "$broken" >&2
    exit 1
fi
echo "groups: shared parts and programs in order"
