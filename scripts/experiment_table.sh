#!/usr/bin/env bash
# Prints a Markdown table of the experiments in a folder: the mean over the
# seeds, and the lowest and highest value where there are several.
#
#   scripts/experiment_table.sh FOLDER
set -euo pipefail
folder=${1:?a folder with the JSON reports of scripts/experiment.sh}
find "$folder" -name '*.json' ! -name '*.plan.json' -print0 | sort -z |
  xargs -0 jq -s -r '
    def rounded($digits): . * $digits | round / $digits;
    def spread(f; $digits): [.[] | f | select(. != null)] as $v
      | if ($v | length) == 0 then "none" else
          ($v | add / length | rounded($digits)) as $mean
          | if ($v | length) == 1 or ($v | min) == ($v | max) then "\($mean)"
            else "\($mean) (\($v | min | rounded($digits)) to \($v | max | rounded($digits)))" end
        end;
    def spread(f): spread(f; 1000);
    def ms(f): spread(f; 1);
    ["experiment", "seeds", "attainment", "goodput /s", "answer p50, p99 ms", "first token p50, p99 ms",
     "retries per request", "wasted share", "target ms per whole answer", "fairness", "recovery s"] as $head
    | ($head | "| \(join(" | ")) |"), ($head | map("---") | "|\(join("|"))|"),
      (map(. + {key: (.name | sub("-[0-9]+$"; ""))}) | group_by(.key)[]
        | "| \(.[0].key) | \(map(.seed) | join(" ")) | \(spread(.attainment)) | \(spread(.goodput_per_s; 10)) | \(ms(.answer_p50_ms)), \(ms(.answer_p99_ms)) | \(ms(.first_token_p50_ms)), \(ms(.first_token_p99_ms)) | \(spread(.retries_per_request)) | \(spread(.wasted_share)) | \(spread([.cost[].target_ms_per_whole_answer] | add; 10)) | \(spread(.fairness)) | \(spread(.recovery_seconds)) |")'
