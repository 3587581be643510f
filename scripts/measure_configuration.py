#!/usr/bin/env python3
"""Measures how long a configuration takes to be in force everywhere.

Starts the fleet of a deployment on loopback, changes the preset again and
again through alternating routers, and reads from each process when it took the
version over. Then counts the control messages and bytes of each process in a
steady state.

  scripts/measure_configuration.py [--deployment hekkeform] [--routers 4]
                                   [--changes 30] [--base_port 38000]
"""
import argparse
import json
import os
import subprocess
import tempfile
import time
import urllib.request

STEADY_SECONDS = 10
LIMIT_SECONDS = 10


def get(port, path):
    url = f"http://127.0.0.1:{port}{path}"
    with urllib.request.urlopen(url, timeout=5) as answer:
        return answer.read().decode()


def metrics(port):
    values = {}
    for line in get(port, "/metrics").splitlines():
        if line.startswith("wisteria_con"):
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
    return values


def set_preset(port, preset):
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}/v1/operator/preset",
        data=json.dumps({"preset": preset}).encode(), method="POST")
    with urllib.request.urlopen(request, timeout=10) as answer:
        return json.loads(answer.read())["version"]


def time_everywhere(ports, version, sent):
    """Returns milliseconds until the last process had the version."""
    deadline = time.time() + LIMIT_SECONDS
    last = 0
    for port in ports:
        while True:
            seen = metrics(port)
            if seen.get("wisteria_configuration_version", 0) >= version:
                break
            if time.time() > deadline:
                return None
            time.sleep(0.02)
        last = max(last, seen["wisteria_configuration_adopted_wall_us"])
    return (last / 1e6 - sent) * 1e3


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def traffic(ports):
    """Returns control messages and bytes of each process, both directions."""
    counts = {}
    for port in ports:
        seen = metrics(port)
        counts[port] = [
            sum(v for k, v in seen.items() if k.startswith(f"wisteria_control_{what}_total"))
            for what in ("messages", "bytes")]
    return counts


def report_traffic(role, ports, before, after, seconds):
    for index, what in enumerate(("messages", "bytes")):
        rates = [(after[p][index] - before[p][index]) / seconds for p in ports]
        print(f"{role} control {what}/s, both directions: "
              f"mean {sum(rates) / len(rates):.0f}, max {max(rates):.0f}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", default="hekkeform")
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--changes", type=int, default=30)
    parser.add_argument("--base_port", type=int, default=38000)
    options = parser.parse_args()
    os.chdir(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
    with tempfile.TemporaryDirectory() as run:
        environment = dict(os.environ, WISTERIA_RUN_DIR=run,
                           WISTERIA_BASE_PORT=str(options.base_port))
        fleet = ["scripts/fleet.sh", "start", options.deployment, str(options.routers)]
        subprocess.run(fleet, env=environment, check=True)
        try:
            with open(f"{run}/standin.json", encoding="utf-8") as file:
                vms = json.load(file)["vms"]
            routers = [vm["port"] for vm in vms if vm["role"] == "router"]
            agents = [vm["port"] for vm in vms if vm["role"] == "target"]
            times = []
            for change in range(options.changes):
                sent = time.time()
                preset = "peak" if change % 2 == 0 else "ordinary"
                version = set_preset(routers[change % len(routers)], preset)
                took = time_everywhere(routers + agents, version, sent)
                if took is None:
                    print(f"change {change}: NOT everywhere within {LIMIT_SECONDS} s")
                else:
                    times.append(took)
                time.sleep(0.1)
            print(f"{len(times)} of {options.changes} changes reached {len(routers)} routers "
                  f"and {len(agents)} agents; ms from the operator's call: "
                  f"p50 {quantile(times, 0.5):.1f}, p90 {quantile(times, 0.9):.1f}, "
                  f"max {max(times):.1f}")
            before, start = traffic(routers + agents), time.time()
            time.sleep(STEADY_SECONDS)
            after, seconds = traffic(routers + agents), time.time() - start
            report_traffic("router", routers, before, after, seconds)
            report_traffic("agent", agents, before, after, seconds)
        finally:
            fleet[1] = "stop"
            subprocess.run(fleet[:3], env=environment, check=True)


if __name__ == "__main__":
    main()
