# Functions for scripts that run the programs on loopback: start and stop them, put the table and the budgets in, ask
# the stand-ins, gather the records and judge them. To be sourced.

declare -A pid_of=()
declare -A address_of=()
declare -A admin_of=()
work=
kept=
next_port=0
fleet_key=measurement-fleet-key-0123456789
ledger_shards=16

fail()
{
    echo "${scenario:-script}: $*" >&2
    exit 2
}

note()
{
    echo "${scenario:-script}: $*" >&2
}

# prepare ROOT [DIRECTORY]: finds the programs and makes the folder for records, which is removed at the end unless
# a directory was given.
prepare()
{
    bin=${RADISHSWITCH_BIN:-$1/build/bin}
    measure=$bin/radishswitch-measure
    [ -x "$measure" ] || fail "no programs in $bin; build them first: cmake -S . -B build -G Ninja && ninja -C build"
    kept=${2:-}
    if [ -n "$kept" ]; then
        mkdir -p "$kept"
        # Records are appended to: those of an earlier run would be judged as runs of this one.
        [ -z "$(ls -A "$kept")" ] || fail "$kept is not empty"
        work=$kept
    else
        work=$(mktemp -d)
    fi
    next_port=$((20000 + RANDOM % 10000))
    : >"$work/events"
    : >"$work/warm.log"
    trap 'end_all $?' EXIT
    trap 'exit 2' INT TERM
}

# Ends only what was started here.
end_all()
{
    local status=$1 name
    trap - EXIT
    for name in "${!pid_of[@]}"; do
        kill -TERM "${pid_of[$name]}" 2>/dev/null || true
    done
    local deadline=$((SECONDS + 5))
    for name in "${!pid_of[@]}"; do
        while kill -0 "${pid_of[$name]}" 2>/dev/null && [ $SECONDS -lt $deadline ]; do
            sleep 0.05
        done
        kill -KILL "${pid_of[$name]}" 2>/dev/null || true
        wait "${pid_of[$name]}" 2>/dev/null || true
    done
    [ -n "$kept" ] || rm -rf "$work"
    exit "$status"
}

# Sets `port` to one that nothing listens on. Below the range from which the kernel takes ports by itself.
take_port()
{
    while :; do
        next_port=$((next_port + 1))
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; then
            port=$next_port
            return
        fi
    done
}

# start NAME PROGRAM ARGUMENTS...: waits until the program says that it listens.
start()
{
    local name=$1 program=$2
    shift 2
    : >"$work/$name.out"
    "$bin/$program" "$@" >>"$work/$name.out" 2>>"$work/$name.err" &
    pid_of[$name]=$!
    local deadline=$((SECONDS + 15))
    until grep -q '^listening' "$work/$name.out"; do
        if ! kill -0 "${pid_of[$name]}" 2>/dev/null || [ $SECONDS -ge $deadline ]; then
            tail -n 5 "$work/$name.err" >&2
            fail "$name did not start"
        fi
        sleep 0.02
    done
}

# stop NAME [SECONDS]: a planned stop; its exit code is kept in `exit_code`.
stop()
{
    local name=$1 deadline=$((SECONDS + ${2:-60}))
    kill -TERM "${pid_of[$name]}"
    while kill -0 "${pid_of[$name]}" 2>/dev/null; do
        if [ $SECONDS -ge $deadline ]; then
            note "$name did not stop within ${2:-60} s"
            kill -KILL "${pid_of[$name]}"
        fi
        sleep 0.02
    done
    exit_code=0
    wait "${pid_of[$name]}" 2>/dev/null || exit_code=$?
    unset "pid_of[$name]"
}

# kill_hard NAME: as when an instance dies.
kill_hard()
{
    kill -KILL "${pid_of[$1]}"
    wait "${pid_of[$1]}" 2>/dev/null || true
    unset "pid_of[$1]"
}

# event KIND SUBJECT [TOKENS]: writes down what the scenario does, with the time.
event()
{
    printf '{"time_us":%s,"event":"%s","subject":"%s","tokens":%s}\n' "${EPOCHREALTIME/[.,]/}" "$1" "$2" "${3:-0}" \
        >>"$work/events"
}

# ask ADDRESS PATH [BODY]: GET, or POST with a body.
ask()
{
    if [ $# -gt 2 ]; then
        curl -sS --fail-with-body -m 10 -H 'Content-Type: application/json' --data-binary "$3" "http://$1$2"
    else
        curl -sS --fail-with-body -m 10 "http://$1$2"
    fi
}

# fault NAME JSON: switches faults of a stand-in.
fault()
{
    ask "${control_of[$1]:-${address_of[$1]}}" /standin/faults "$2" >/dev/null || fail "no fault at $1: $2"
}
declare -A control_of=()

# strike RELAY JSON: a fault that must hit connections that are open; where none is, the run would show nothing.
strike()
{
    local answer
    answer=$(ask "${address_of[$1]}" /standin/faults "$2") || fail "no fault at $1: $2"
    [[ $answer != *'"connections":0,'* ]] || fail "$1 has no open connections to strike with $2"
}

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for()
{
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $deadline ] || fail "waited in vain for: $*"
        sleep 0.05
    done
}

# register NAME ROLE ADDRESS ADMIN ZONE REGION POOL STATE: tells the platform's list.
register()
{
    local instance
    printf -v instance '{"name":"%s","role":"%s","address":"%s","admin":"%s","zone":"%s","region":"%s","pool":"%s","state":"%s"}' \
        "$@"
    ask "${address_of[platform]}" /standin/instances "$instance" >/dev/null || fail "the platform's list refused $1"
}

unregister()
{
    ask "${address_of[platform]}" /standin/instances "{\"name\":\"$1\",\"remove\":true}" >/dev/null
}

# start_platform [FLAGS...]
start_platform()
{
    take_port
    local control
    address_of[platform]=127.0.0.1:$port
    local objects=$port
    take_port
    control=$port
    control_of[platform]=127.0.0.1:$control
    start platform standin-platform --port "$objects" --control-port "$control" "$@"
}

# start_relay NAME LISTEN=TARGET[,GROUP]...
start_relay()
{
    local name=$1 forward
    shift
    take_port
    address_of[$name]=127.0.0.1:$port
    local flags=()
    for forward in "$@"; do
        flags+=(--forward "$forward")
    done
    start "$name" standin-relay --listen "${address_of[$name]}" "${flags[@]}"
}

# reserve NAME [IP]: gives a program its addresses, so that a relay can be put before it; the start of a program that
# has none does it too.
declare -A peer_of=()
reserve()
{
    local ip=${2:-127.0.0.1}
    [ -z "${address_of[$1]:-}" ] || return 0
    take_port
    address_of[$1]=$ip:$port
    take_port
    peer_of[$1]=$ip:$port
    take_port
    admin_of[$1]=$ip:$port
}

# start_engine NAME [FLAGS...]
start_engine()
{
    local name=$1
    shift
    reserve "$name"
    start "$name" standin-engine --listen "${address_of[$name]}" --name "$name" --record "$work/$name.runs" "$@"
    event endpoint_up "$name"
}

# start_service NAME [FLAGS...]
start_service()
{
    local name=$1
    shift
    reserve "$name"
    start "$name" standin-service --listen "${address_of[$name]}" --name "$name" --record "$work/$name.runs" "$@"
}

# start_agent NAME KIND ENDPOINT-ADDRESS POOL REGION ZONE [FLAGS...]: beside the endpoint, listed by the platform.
start_agent()
{
    local name=$1 kind=$2 endpoint=$3 pool=$4 region=$5 zone=$6
    shift 6
    reserve "$name"
    start "$name" radishswitch-agent --listen "${address_of[$name]}" --admin-listen "${admin_of[$name]}" \
        --advertise "${listed_as[$name]:-${address_of[$name]}}" \
        --name "$name" --endpoint "$endpoint" --endpoint-kind "$kind" --pool "$pool" --region "$region" --zone "$zone" \
        --platform "${platform_for[$region]:-${address_of[platform]}}" --fleet-key "$fleet_key" "$@"
    register "$name" agent "${listed_as[$name]:-${address_of[$name]}}" "${admin_of[$name]}" "$zone" "$region" "$pool" live
}
# Where a region's processes find the platform, and where others find a process, when a relay lies between.
declare -A platform_for=()
declare -A listed_as=()

# start_entry NAME REGION ZONE [FLAGS...]
start_entry()
{
    local name=$1 region=$2 zone=$3
    shift 3
    reserve "$name"
    start "$name" radishswitch-entry --listen "${address_of[$name]}" --peer-listen "${peer_of[$name]}" \
        --advertise "${listed_as[$name]:-${peer_of[$name]}}" --admin-listen "${admin_of[$name]}" --platform "${platform_for[$region]:-${address_of[platform]}}" \
        --region "$region" --zone "$zone" --fleet-key "$fleet_key" --ledger-shards "$ledger_shards" "$@"
    register "$name" entry "${listed_as[$name]:-${peer_of[$name]}}" "${admin_of[$name]}" "$zone" "$region" "" live
}

entry_is_ready()
{
    curl -sf -m 2 "http://${admin_of[$1]}/readyz"
}

# chat_works ENTRY ORGANISATION: whether a request is answered there. It is put down as any other, since it is billed.
chat_works()
{
    local file=$work/warm.try
    rm -f "$file"
    warm_ups=$((warm_ups + 1))
    "$measure" load --name "warm-$warm_ups" --log "$file" --target "${address_of[$1]}" \
        --organisation "$2,$(key_of "$2"),$2/main" --requests 1 --callers 1 --tries 1 --seconds 5 --timeout-seconds 5 >/dev/null
    if ! grep -q '"outcome":"whole"' "$file"; then
        cat "$file" >>"$work/warm.refused"
        return 1
    fi
    cat "$file" >>"$work/warm.log"
}
warm_ups=0

ctl()
{
    "$bin/radishctl" --platform "${address_of[platform]}" --operator measure --ledger-shards "$ledger_shards" "$@" >>"$work/radishctl.out" \
        2>>"$work/radishctl.err" || fail "radishctl $*: $(tail -n 1 "$work/radishctl.err")"
}

# gather: reads the ledger from the platform.
gather()
{
    ask "${address_of[platform]}" '/objects?prefix=ledger/' >"$work/ledger.json" || fail "no ledger to read"
}

# judge NAME...: holds the records against one another; figures go to $work/truth.json, or where `verdict` says. NAMEs
# are the load's logs.
verdict=truth
judge()
{
    local flags=() file
    for file in "$work"/engine-*.runs; do
        [ ! -f "$file" ] || flags+=(--engine-runs "$file")
    done
    for file in "$work"/service-*.runs; do
        [ ! -f "$file" ] || flags+=(--service-runs "$file")
    done
    for file in warm "$@"; do
        flags+=(--log "$work/$file.log")
    done
    "$measure" truth "${flags[@]}" --ledger "$work/ledger.json" --events "$work/events" >"$work/$verdict.json" \
        || fail "the records can't be read"
}

# Promises that hold in every scenario.
promises=(--require 'overspend_tokens == 0' --require 'overdrawn_tokens == 0' --require 'paid_mismatch_tokens == 0'
    --require 'double_billed == 0' --require 'unbilled_tokens == 0' --require 'double_runs == 0'
    --require 'false_not_run == 0' --require 'lost_or_mixed_answers == 0' --require 'cut_off_by_stop == 0'
    --require 'late_work == 0' --require 'wrong_continuations == 0' --require 'wrong_usage == 0')

# report FLAGS...: the last line. Ends the script with what it found. What the records tell goes before what a load saw.
report()
{
    local status=0
    "$measure" report --file "$work/truth.json" "$@" --file "$work/truth.json" --figure "scenario=\"$scenario\"" \
        || status=$?
    exit "$status"
}

# organisation NAME [CELLS...]: a row of the table whose key is known here.
organisation()
{
    local name=$1 digest
    shift
    digest=$(printf %s "$(key_of "$name")" | sha256sum)
    ctl org create "$name" --no-key "keys=sha256:${digest%% *}" "$@"
}

key_of()
{
    echo "rs-measure-key-of-$1"
}

# budget ORGANISATION/NAME TOKENS: creates it and pays in.
budget()
{
    ctl budget create "$1"
    top_up "$1" "$2"
}

payments=0
# top_up ORGANISATION/NAME TOKENS
top_up()
{
    payments=$((payments + 1))
    # Written down before it is done: money that arrives a moment early is not taken for overspending.
    event top_up "$1" "$2"
    ctl topup "$1" --tokens "$2" --payment-id "payment-$payments"
}

# standard_table ORGANISATION...: one pool of engines, one of services, routes for all, a budget each.
standard_table()
{
    local name
    ctl pool create llm serves=chat models=standin
    ctl pool create shop serves=service "non_idempotent=POST /orders"
    ctl route create chat model=standin pool=llm
    ctl route create shop model=shop pool=shop
    for name in "$@"; do
        organisation "$name"
        budget "$name/main" "${budget_tokens:-10000000}"
    done
}

# standard_fleet ENGINES ENTRIES: engines in pool llm, one service in pool shop, zones taken in turn, one region.
standard_fleet()
{
    local n zones=(hall-a hall-b hall-c)
    for ((n = 1; n <= $1; ++n)); do
        start_engine "engine-$n" "${engine_flags[@]}"
        start_agent "agent-$n" engine "${endpoint_for[engine-$n]:-${address_of[engine-$n]}}" llm south \
            "${zones[n % 3]}"
    done
    start_service service-1
    start_agent agent-shop service "${address_of[service-1]}" shop south hall-a --health-target /livez
    for ((n = 1; n <= $2; ++n)); do
        start_entry "entry-$n" south "${zones[n % 3]}"
    done
}
engine_flags=(--slots 32 --tokens-per-second 100)
declare -A endpoint_for=()

# await_fleet ENTRIES ORGANISATION: until each entry answers.
await_fleet()
{
    local n
    for ((n = 1; n <= $1; ++n)); do
        wait_for 20 entry_is_ready "entry-$n"
        wait_for 20 chat_works "entry-$n" "$2"
    done
}

# targets_of NAME...: sets `targets` to the load's flags for these entries.
targets_of()
{
    local name
    targets=()
    for name in "$@"; do
        targets+=(--target "${address_of[$name]},${admin_of[$name]}")
    done
}

# callers_of ORGANISATION...: sets `callers` to the load's flags for their callers.
callers_of()
{
    local name
    callers=()
    for name in "$@"; do
        callers+=(--organisation "$name,$(key_of "$name"),$name/main")
    done
}

# begin_load NAME FLAGS...: in the background; its figures go to $work/NAME.json and its tries to $work/NAME.log.
begin_load()
{
    local name=$1
    shift
    : >"$work/$name.log"
    "$measure" load --name "$name" --log "$work/$name.log" "$@" >"$work/$name.json" 2>"$work/$name.err" &
    pid_of[$name]=$!
}

# end_load NAME: waits for the last answer.
end_load()
{
    local status=0
    wait "${pid_of[$1]}" || status=$?
    unset "pid_of[$1]"
    [ $status -eq 0 ] || fail "the load $1 ended with $status: $(tail -n 1 "$work/$1.err")"
}

# stop_entries NAME...: planned stops, after which every live portion must be settled.
stop_entries()
{
    local name
    for name in "$@"; do
        event stop_begin "$name"
        stop "$name"
        event stop_end "$name"
        [ "$exit_code" -eq 0 ] || fail "$name ended with $exit_code after a planned stop"
    done
}

# cpu_ms NAME: processor time of a program so far, in milliseconds.
cpu_ms()
{
    local stat
    stat=$(<"/proc/${pid_of[$1]}/stat")
    # The name in brackets may hold spaces; what is wanted stands behind it.
    # shellcheck disable=SC2086
    set -- ${stat##*) }
    echo $(((${12} + ${13}) * 1000 / $(getconf CLK_TCK)))
}

# rss_kb NAME: resident memory of a program, in kilobytes.
rss_kb()
{
    awk '/^VmRSS:/ {print $2}' "/proc/${pid_of[$1]}/status"
}

# loopback_bytes: what all programs of the machine sent over loopback so far.
loopback_bytes()
{
    awk '/^ *lo:/ {sub(/.*:/, ""); print $1}' /proc/net/dev
}
