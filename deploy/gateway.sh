#!/bin/sh
# Starts one gateway in its place, with the memory that its configuration gives it. The shell starts no other program:
# where processes may not fork, this has to go through all the same.
mb= managed=
# Field by field: the shell looks for a pattern in a text by trying all its beginnings, and in a list of servers on one line that
# took as long as the rest of the start
set -f
IFS=,{}
while read -r line || [ -n "$line" ]; do
    for field in $line; do
        case $field in
            *'"management"'*) managed=1;;
            *'"memory_mb"'*)
                mb=${field#*'"memory_mb"'}
                mb=${mb#*:}
                mb=${mb#"${mb%%[0-9]*}"}
                mb=${mb%%[!0-9]*};;
        esac
    done
done < "${ROUTER_CONFIG:-/dev/null}"
unset IFS
heap=$((${mb:-192} * 3 / 10))
# where a second process may stand beside this one, both have to fit
if [ -n "$managed" ] && [ "$heap" -gt $((${mb:-192} / 2 - 30)) ]; then heap=$((${mb:-192} / 2 - 30)); fi
if [ "$heap" -lt 10 ]; then heap=10; fi
# heap, direct buffers, stacks, code and classes in what is given; the whole heap is touched at the start, so that memory
# is level from then on; collector and compiler for part of a core, code compiled only
# after four times as many calls (a start is short of processor time), no management beans (a fifth of a second at start),
# classes from the archive that the build leaves
exec java -XX:+UseSerialGC "-Xms${heap}m" "-Xmx${heap}m" -XX:+AlwaysPreTouch -XX:MaxDirectMemorySize=8m -Xss256k \
    -XX:TieredStopAtLevel=1 -XX:CompileThresholdScaling=4 -XX:ReservedCodeCacheSize=12m -XX:MaxMetaspaceSize=24m \
    -XX:-UsePerfData \
    -Djavax.management.builder.initial=tinford.transport.DisabledMBeanServerBuilder -Duser.language=en -Duser.country=US \
    "${TINFORD_CLASSES:--XX:SharedArchiveFile=gateway/target/tinford.jsa}" \
    -jar gateway/target/tinford.jar serve
