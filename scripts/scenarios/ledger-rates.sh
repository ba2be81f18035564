# shellcheck shell=bash disable=SC2154
# Calls a second to the platform's store by load, budgets and entries, with the slope of each.

seconds=${seconds:-15}
start_platform
mkdir -p "$work/steps"
standard_table
organisations=()
for ((n = 1; n <= 40; ++n)); do
    organisation "org-$n"
    budget "org-$n/main" 10000000
    organisations+=("org-$n")
done
standard_fleet 2 4
await_fleet 4 org-1

# step NAME ENTRIES BUDGETS RATE: its store calls go to $work/steps/NAME.json, by kind and by part of the keys.
logs=()
step()
{
    local name=$1 entries=() n before after
    for ((n = 1; n <= $2; ++n)); do
        entries+=("entry-$n")
    done
    targets_of "${entries[@]}"
    callers_of "${organisations[@]:0:$3}"
    ask "${control_of[platform]}" /standin/stats >"$work/steps/$name.before"
    begin_load "$name" "${targets[@]}" "${callers[@]}" --rate "$4" --seconds "$seconds" --max-tokens 16 \
        --prompt-words 10 --seed 47
    end_load "$name"
    ask "${control_of[platform]}" /standin/stats >"$work/steps/$name.after"
    logs+=("$name")
    before=$work/steps/$name.before
    after=$work/steps/$name.after
    "$measure" report --numbers "before=$before" --numbers "after=$after" --numbers "=$work/$name.json" \
        --figure "writes_per_second=after_calls_put-before_calls_put/seconds" \
        --figure "gets_per_second=after_calls_get-before_calls_get/seconds" \
        --figure "lists_per_second=after_calls_list-before_calls_list/seconds" \
        --figure "watches_per_second=after_calls_watch-before_calls_watch/seconds" \
        --figure "reads_per_second=gets_per_second+lists_per_second+watches_per_second" >"$work/steps/$name.json"
}

step idle 2 5 0.2
step base 2 5 20
step budgets 2 40 20
step entries 4 5 20
step requests 2 5 60

stop_entries entry-1 entry-2 entry-3 entry-4
gather
judge "${logs[@]}"
numbers=()
chosen=()
for name in idle base budgets entries requests; do
    numbers+=(--numbers "$name=$work/steps/$name.json")
    for kind in writes reads; do
        chosen+=(--figure "${name}_$kind=${name}_${kind}_per_second" --pick "${name}_$kind")
    done
done
for kind in writes reads; do
    chosen+=(--figure "${kind}_per_budget=budgets_$kind-base_$kind/35"
        --figure "${kind}_per_entry=entries_$kind-base_$kind/2"
        --figure "${kind}_per_request=requests_$kind-base_$kind/40" --pick "${kind}_per_*")
done
"$measure" report "${numbers[@]}" "${chosen[@]}" >"$work/slopes.json"
report --numbers "=$work/slopes.json" "${promises[@]}" --require 'false_refusals == 0'
