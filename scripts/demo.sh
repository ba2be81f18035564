#!/usr/bin/env bash
# Shows the whole path on loopback: installs what is needed, builds, starts a small fleet, and sends real requests.
#
#   scripts/demo.sh                  ends with 0 only if every step gave what it should
#   scripts/demo.sh --keep           leaves the fleet running, and prints how to talk to it and how to stop it
#   scripts/demo.sh --stop FOLDER    stops a fleet that was left running
#
# Programs that are built already can be given by RADISHSWITCH_BIN; nothing is installed or built then.
set -euo pipefail

scripts=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(dirname "$scripts")
scenario=demo
programs=(radishctl radishswitch-entry radishswitch-agent radishswitch-measure standin-platform standin-engine
    standin-service)
# Stopped in this order: what takes requests goes before what answers them.
fleet=(entry-1 entry-2 agent-1 agent-2 agent-shop engine-1 engine-2 service-1 platform)

paid=20000
paid_too_little=100
old_price=3
new_price=7
question='{"model":"standin","messages":[{"role":"user","content":"Draft a quote for two roller blinds."}]}'
streamed_question='{"model":"standin","stream":true,"stream_options":{"include_usage":true},"max_tokens":6,"messages":[{"role":"user","content":"Which fabric shades a south room?"}]}'
long_question='{"model":"standin","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"Which fabric shades a south room?"}]}'
order='{"blind":"roller","width_cm":120,"height_cm":160}'

# shellcheck source=lib.sh
. "$scripts/lib.sh"

steps=0
checks=0
bills=()
spent_magnolia=0
declare -A api_key=()

heading()
{
    steps=$((steps + 1))
    printf '\n== %d. %s\n' "$steps" "$*"
}

# expect WHAT COMMAND...: ends the demo with 1 when the command fails.
expect()
{
    local what=$1
    shift
    if ! "$@"; then
        echo "demo: step $steps: not as it should be: $what" >&2
        echo "demo: the programs' logs are in $work" >&2
        kept=$work
        exit 1
    fi
    checks=$((checks + 1))
    echo "   ok: $what"
}

holds()
{
    [[ $1 == *"$2"* ]]
}

# operate ARGUMENTS...: radishctl, shown; what it wrote is left in `output`.
operate()
{
    local status=0
    printf '$ radishctl'
    printf ' %q' "$@"
    echo
    output=$(as_operator "$@" 2>&1) || status=$?
    printf '%s\n' "$output"
    [ $status -eq 0 ] || expect "radishctl ends with 0, not with $status" false
}

as_operator()
{
    "$bin/radishctl" --platform "${address_of[platform]}" --ledger-shards "$ledger_shards" --operator ada "$@"
}

# create_organisation NAME [CELLS...]: keeps its API key.
create_organisation()
{
    operate org create "$@"
    api_key[$1]=$(sed -n 's/^api key: //p' <<<"$output")
    expect "$1 has an API key" [ -n "${api_key[$1]}" ]
}

# call ENTRY ORGANISATION PATH [BODY [HEADER]]: curl, shown; leaves `status`, `body` and `request_id`.
call()
{
    local entry=$1 name=$2 path=$3 flags=(-sS -N -m 30 -D "$work/head" -H "Authorization: Bearer ${api_key[$2]}")
    printf '$ curl -H "Authorization: Bearer $%s_KEY" http://%s%s' "${name^^}" "${address_of[$entry]}" "$path"
    if [ $# -gt 3 ]; then
        flags+=(-H 'Content-Type: application/json' -d "$4")
        printf " -H 'Content-Type: application/json' -d '%s'" "$4"
    fi
    if [ $# -gt 4 ]; then
        flags+=(-H "$5")
        printf " -H '%s'" "$5"
    fi
    echo
    body=$(curl "${flags[@]}" "http://${address_of[$entry]}$path") || expect "curl gets an answer" false
    status=$(sed -n '1s/^HTTP[^ ]* \([0-9]*\).*/\1/p' "$work/head")
    request_id=$(sed -n 's/^X-Request-Id: \([^\r]*\)\r*$/\1/p' "$work/head")
    echo "HTTP $status, request $request_id"
    printf '%s\n' "$body"
}

# tokens_of ANSWER: what its usage says.
tokens_of()
{
    sed -n 's/.*"total_tokens":\([0-9]*\).*/\1/p' <<<"$1" | tail -n 1
}

# words_of STREAM: the text of a streamed answer, joined.
words_of()
{
    sed -n 's/.*"delta":{[^}]*"content":"\([^"]*\)".*/\1/p' <<<"$1" | tr -d '\n'
}

# is_billed TOKENS: whether the entries together have billed the request in `output` once, and at so many tokens.
is_billed()
{
    [ "$(grep -o 'billed [0-9]* tokens' <<<"$output")" = "billed $1 tokens" ]
}

# note_bill REQUEST TOKENS: what is to be on the bill.
note_bill()
{
    bills+=("$1 $2")
    spent_magnolia=$((spent_magnolia + $2))
}

# How often the service itself has run an order.
orders_run()
{
    ask "${address_of[service-1]}" /standin/runs | grep -c '"method":"POST","target":"/orders"' || true
}

# Which lives of the entries are there; changes with every restart.
lives()
{
    as_operator --output json status | grep '"incarnation": "' | sort
}

start_fleet()
{
    heading "Start the platform's stand-in, two engines and a service, each with its agent, and two entries"
    start_platform
    start_engine engine-1 --slots 16 --tokens-per-second 50
    start_engine engine-2 --slots 16 --tokens-per-second 50
    start_agent agent-1 engine "${address_of[engine-1]}" llm south hall-a
    start_agent agent-2 engine "${address_of[engine-2]}" llm south hall-b
    start_service service-1
    start_agent agent-shop service "${address_of[service-1]}" shop south hall-a --health-target /livez
    start_entry entry-1 south hall-a
    start_entry entry-2 south hall-b
    local name
    for name in "${fleet[@]}"; do
        echo "$name listens at ${address_of[$name]}"
    done
}

create_rows()
{
    heading "Create two organisations, budgets, pools and rules"
    create_organisation magnolia share=300
    create_organisation tourbillon share=100
    operate pool create llm serves=chat models=standin
    operate pool create shop serves=service 'non_idempotent=POST /orders' "tokens_per_call=$old_price"
    operate route create chat model=standin pool=llm
    operate route create shop model=shop pool=shop
    local revision=${output#accepted as revision }
    operate budget create magnolia
    operate budget create tourbillon
    operate topup magnolia --tokens "$paid" --payment-id invoice-1
    expect "the payment is in the budget" holds "$output" "paid $paid,"
    operate topup magnolia --tokens "$paid" --payment-id invoice-1
    expect "the same payment told again counts once" holds "$output" "paid $paid,"
    operate topup tourbillon --tokens "$paid_too_little" --payment-id invoice-2
    wait_for 20 entry_is_ready entry-1
    wait_for 20 entry_is_ready entry-2
    operate table wait "${revision%%[!0-9]*}"
    operate status
    expect "five processes are ready" [ "$(grep -c ' ready ' <<<"$output")" -eq 5 ]
}

show_budget_before()
{
    heading "The budget before"
    operate budget show magnolia
    expect "nothing is spent" holds "$output" "paid $paid, settled 0, in portions 0,"
}

ask_the_model()
{
    heading "A chat completion, and one that is streamed"
    call entry-1 magnolia /v1/chat/completions "$question"
    expect "200" [ "$status" = 200 ]
    expect "the answer is whole" holds "$body" '"finish_reason":"stop"'
    note_bill "$request_id" "$(tokens_of "$body")"
    call entry-2 magnolia /v1/chat/completions "$streamed_question"
    expect "200" [ "$status" = 200 ]
    expect "it came in parts" [ "$(grep -c '"delta":{"content":' <<<"$body")" -eq 6 ]
    expect "the stream has its end" holds "$body" 'data: [DONE]'
    note_bill "$request_id" "$(tokens_of "$body")"
}

call_the_service()
{
    heading "A plain service call"
    call entry-1 magnolia /services/shop/stock/roller
    expect "200" [ "$status" = 200 ]
    note_bill "$request_id" "$old_price"

    heading "An order, which must run at most once, and its retry at the other entry"
    call entry-1 magnolia /services/shop/orders "$order" 'Idempotency-Key: order-1'
    expect "200" [ "$status" = 200 ]
    note_bill "$request_id" "$old_price"
    local first=$body
    call entry-2 magnolia /services/shop/orders "$order" 'Idempotency-Key: order-1'
    expect "200" [ "$status" = 200 ]
    expect "the same answer" [ "$body" = "$first" ]
    echo "\$ curl http://${address_of[service-1]}/standin/runs"
    ask "${address_of[service-1]}" /standin/runs | grep '"target":"/orders"' || true
    expect "the service ran it once" [ "$(orders_run)" = 1 ]
}

show_budget_after()
{
    heading "The bill of each answer, and the budget after"
    local bill
    for bill in "${bills[@]}"; do
        operate why "${bill% *}"
        expect "billed once, ${bill#* } tokens" is_billed "${bill#* }"
    done
    operate budget show magnolia
    echo "An entry holds a portion. What it spends of it gets into the ledger now and then, and whole at its end."
    expect "a portion is out" holds "$output" ' open '
}

run_out_of_budget()
{
    heading "A refusal for lack of budget, and why"
    call entry-1 tourbillon /v1/chat/completions "${question%\}},\"max_tokens\":400}"
    expect "402" [ "$status" = 402 ]
    expect "the error has its code" holds "$body" '"code":"budget_exhausted"'
    expect "it says that nothing ran" holds "$body" '"outcome":"not_run"'
    operate why "$request_id"
    expect "radishctl knows the cause" holds "$output" 'budget tourbillon/main is exhausted'
    local seconds
    seconds=$(sed -n 's/^Retry-After: \([0-9]*\).*/\1/p' "$work/head")
    expect "it says when to come back" [ "${seconds:-0}" -gt 0 ]
    operate topup tourbillon --tokens "$paid" --payment-id invoice-3
    sleep "$seconds"
    call entry-1 tourbillon /v1/chat/completions "${question%\}},\"max_tokens\":400}"
    expect "200 after a payment" [ "$status" = 200 ]
}

change_a_row()
{
    heading "A row of the table changed, in force without a restart"
    local before revision
    before=$(lives)
    operate pool set shop "tokens_per_call=$new_price" --reason "spring prices"
    revision=${output#accepted as revision }
    revision=${revision%%[!0-9]*}
    operate table wait "$revision"
    call entry-2 magnolia /services/shop/stock/roller
    expect "200" [ "$status" = 200 ]
    note_bill "$request_id" "$new_price"
    operate why "$request_id"
    expect "billed at the new price" is_billed "$new_price"
    expect "the entries are the same processes" [ "$(lives)" = "$before" ]

    heading "The audit trail of that change"
    operate audit --since 1h --table-only
    local line
    line=$(grep "table revision $revision;" <<<"$output" || true)
    expect "it says who" holds "$line" ' ada '
    expect "it says what was and what is" holds "$line" "tokens_per_call $old_price -> $new_price"
    expect "it says why" holds "$line" 'spring prices'
}

stop_all()
{
    heading "A planned stop of an entry in the middle of an answer"
    echo "a long answer streams from ${address_of[entry-1]} while that entry is stopped"
    curl -sS -N -m 60 -H "Authorization: Bearer ${api_key[magnolia]}" -H 'Content-Type: application/json' \
        -d "$long_question" "http://${address_of[entry-1]}/v1/chat/completions" >"$work/long" &
    local caller=$! streamed
    wait_for 10 grep -q '"content":"[^"]' "$work/long"
    expect "the answer is not whole yet" bash -c "! grep -q DONE '$work/long'"
    stop entry-1
    expect "the entry ended with 0" [ "$exit_code" -eq 0 ]
    expect "curl got its answer" wait "$caller"
    streamed=$(<"$work/long")
    expect "the answer is whole" holds "$streamed" 'data: [DONE]'
    note_bill long "$(tokens_of "$streamed")"
    unregister entry-1
    call entry-2 magnolia /v1/chat/completions "$long_question" >"$work/again"
    expect "the other entry goes on, with the same words" [ "$(words_of "$body")" = "$(words_of "$streamed")" ]
    note_bill "$request_id" "$(tokens_of "$body")"

    heading "Stop all"
    stop entry-2
    expect "the entry ended with 0" [ "$exit_code" -eq 0 ]
    unregister entry-2
    operate budget show magnolia
    expect "settled are the $spent_magnolia tokens of ${#bills[@]} answers, and nothing is withheld" \
        holds "$output" "paid $paid, settled $spent_magnolia, in portions 0, of these withheld 0,"
    local name
    for name in "${fleet[@]:2}"; do
        stop "$name"
        expect "$name ended with 0" [ "$exit_code" -eq 0 ]
    done
}

leave_running()
{
    local name
    for name in "${fleet[@]}"; do
        echo "$name ${pid_of[$name]}"
    done >"$work/pids"
    cat <<EOF

The fleet goes on. To talk to it:

export PATH=$bin:\$PATH RADISHSWITCH_PLATFORM=${address_of[platform]} RADISHSWITCH_LEDGER_SHARDS=$ledger_shards
export RADISHSWITCH_OPERATOR=ada MAGNOLIA_KEY=${api_key[magnolia]}
radishctl status
curl -H "Authorization: Bearer \$MAGNOLIA_KEY" http://${address_of[entry-1]}/v1/chat/completions -d '$question'
curl http://${admin_of[entry-1]}/metrics

Its logs are in $work. To stop it:

scripts/demo.sh --stop $work
EOF
    trap - EXIT
}

# runs PID: whether it is a program of ours. A zombie has no command line, and a number may have been given anew.
runs()
{
    grep -qsE 'radishswitch-|standin-' "/proc/$1/cmdline"
}

# stop_kept FOLDER: a planned stop of what --keep has left.
stop_kept()
{
    local name pid deadline failed=0
    [ -f "$1/pids" ] || fail "no fleet was left running with $1"
    while read -r name pid; do
        runs "$pid" || continue
        kill -TERM "$pid"
        deadline=$((SECONDS + 60))
        while runs "$pid" && [ $SECONDS -lt $deadline ]; do
            sleep 0.05
        done
        if runs "$pid"; then
            note "$name ($pid) did not stop within 60 s"
            failed=1
        fi
    done <"$1/pids"
    [ $failed -eq 0 ] || exit 1
    rm -rf "$1"
    echo "stopped"
}

keeps=
case ${1:-} in
'') ;;
--keep) keeps=yes ;;
--stop)
    stop_kept "${2:?--stop needs the folder that --keep has printed}"
    exit 0
    ;;
--help)
    sed -n '2,8s/^# \{0,1\}//p' "${BASH_SOURCE[0]}"
    exit 0
    ;;
*)
    echo "demo.sh: no such flag: $1" >&2
    exit 2
    ;;
esac

if [ -z "${RADISHSWITCH_BIN:-}" ]; then
    "$scripts/install.sh"
    echo "building; the first time takes some minutes"
    "$scripts/build.sh" "${programs[@]}"
fi
prepare "$root" "${keeps:+$(mktemp -d)}"
start_fleet
create_rows
show_budget_before
ask_the_model
call_the_service
show_budget_after
run_out_of_budget
change_a_row
if [ -n "$keeps" ]; then
    leave_running
else
    stop_all
fi
printf '\ndemo: %d steps, %d checks, all as they should be\n' "$steps" "$checks"
