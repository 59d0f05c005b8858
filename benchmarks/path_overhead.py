"""Measures the overhead of a daemon per request and per token, as ratios within one run.

Starts the stand-ins and one daemon on the loopback address, sends the same open-loop load
alternately to the stand-in and through the daemon, and prints both with their ratios, the daemon's
processor time per request, and the requests per second that one core could serve. --rounds and
--seconds limit the duration.
"""

import argparse
import json

import fleet

TOKENS = 16
QUANTILES = ["p50_ms", "p95_ms"]


def load(served, through, kind, rate, seconds):
    if kind == "stream":
        path = "/v1/chat/completions"
        more = ["--output-tokens", str(TOKENS)]
        target = "engine-0"
    else:
        path = "/x"
        more = ["--plain"]
        target = "worker-0"
    if through:
        path = "/services/%s%s" % (kind, path)
        target = "daemon-0"
    return served.load(served.address[target], path, rate, seconds, *more)


def median(values):
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


def compare(direct, through):
    rows = {}
    for figure in ["first_byte", "total", "between_tokens"]:
        for quantile in QUANTILES:
            straight = median([row[figure][quantile] for row in direct])
            daemon = median([row[figure][quantile] for row in through])
            if straight:
                rows["%s_%s" % (figure, quantile)] = {
                    "direct": straight, "daemon": daemon, "ratio": round(daemon / straight, 3)}
    return rows


def measure(served, kind, rate, seconds, rounds):
    direct = []
    through = []
    used = 0.0
    pid = served.processes["daemon-0"].pid
    for _ in range(rounds):
        direct.append(load(served, False, kind, rate, seconds))
        before = fleet.cpu_seconds(pid)
        through.append(load(served, True, kind, rate, seconds))
        used += fleet.cpu_seconds(pid) - before
    whole = sum(row["whole"] for row in through)
    result = {"kind": kind, "rate": rate, "rounds": rounds,
              "sent": sum(row["sent"] for row in through), "whole": whole}
    result.update(compare(direct, through))
    result["cpu_us_per_request"] = round(1e6 * used / max(whole, 1), 1)
    result["requests_per_second_per_core"] = round(whole / used, 1) if used else None
    if kind == "stream" and used:
        result["tokens_per_second_per_core"] = round(TOKENS * whole / used, 1)
    return result


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--stream-rate", type=float, default=100)
    parser.add_argument("--plain-rate", type=float, default=1000)
    arguments = parser.parse_args()
    fast_engine = ["--prefill-rate", "100000000", "--decode-rate", "1000", "--streams", "2000"]
    with fleet.Fleet(arguments.build, engine_arguments=fast_engine) as served:
        served.wait_until_serving()
        for kind, rate in [("stream", arguments.stream_rate), ("plain", arguments.plain_rate)]:
            result = measure(served, kind, rate, arguments.seconds, arguments.rounds)
            print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
