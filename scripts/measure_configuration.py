#!/usr/bin/env python3
"""Measures how long a configuration change takes to reach all processes.

Starts the fleet of a deployment on loopback, changes the preset repeatedly
through alternating routers, and reads from each process's metrics when it
adopted the version. Then counts the control messages and bytes of each process
in a steady state.

  scripts/measure_configuration.py [--deployment hekkeform] [--routers 4]
                                   [--changes 30]
                                   [--first_port 38000] [--last_port 40000]
"""
import argparse
import itertools
import json
import os
import socket
import subprocess
import tempfile
import time
import urllib.request

STEADY_SECONDS = 10
ADDRESS = "127.0.0.1"
BIN = "build/bin"
PROPAGATION_LIMIT_SECONDS = 10


def free_ports(first, last):
    """Yields ports that are not in use, neither listening nor outgoing."""
    # Linux uses even ports for outgoing connections while any is free, so only
    # odd ones are tried.
    for port in range(first | 1, last, 2):
        with socket.socket() as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                continue
        yield port


class fleet:
    """The processes of a deployment, as scripts/fleet.sh starts them, but each
    port is checked to be free."""

    def __init__(self, deployment, routers, first, last, run):
        with open(f"settings/{deployment}/fleet.json", encoding="utf-8") as file:
            description = json.load(file)
        ports = free_ports(first, last)
        centres = description["data_centres"]
        self.platform = next(ports)
        self.processes = []
        self.run = run
        vms = [{"name": f"router-{i + 1}", "role": "router", "address": ADDRESS,
                "data_centre": centres[i % len(centres)], "port": next(ports)}
               for i in range(routers)]
        targets = []
        for pool in description["pools"]:
            for i in range(pool["count"]):
                target = dict(pool, id=f"{pool['pool']}-{i + 1}", port=next(ports))
                del target["count"]
                targets.append(target)
                vms.append({"name": target["id"], "role": "target", "pool": pool["pool"],
                            "data_centre": centres[i % len(centres)],
                            "address": ADDRESS, "port": next(ports)})
        self.routers = [vm["port"] for vm in vms if vm["role"] == "router"]
        self.agents = [vm["port"] for vm in vms if vm["role"] == "target"]
        with open(f"{run}/standin.json", "w", encoding="utf-8") as file:
            json.dump({"name": "standin", "listen": {"port": self.platform},
                       "targets": targets, "vms": vms}, file)
        self.launch("wisteria-standin", [f"--settings={run}/standin.json"])
        time.sleep(1)
        target_ports = {target["id"]: target["port"] for target in targets}
        for vm in vms:
            common = (f"/name={vm['name']},/data_centre={vm['data_centre']},"
                      f"/listen/port={vm['port']},/platform/port={self.platform}")
            if vm["role"] == "router":
                self.launch("wisteria-router", [f"--set={common}"])
            else:
                self.launch("wisteria-agent", [
                    f"--set={common},/target/pool={vm['pool']},"
                    f"/target/port={target_ports[vm['name']]}"])

    def launch(self, program, arguments):
        log = open(f"{self.run}/{len(self.processes)}.log", "w", encoding="utf-8")
        self.processes.append(subprocess.Popen(
            [f"{BIN}/{program}", *arguments], stdout=log, stderr=log))

    def apply(self, document):
        for attempt in itertools.count():
            try:
                request = urllib.request.Request(
                    f"http://{ADDRESS}:{self.routers[0]}/v1/operator/configuration"
                    "?expected_version=0", data=document, method="PUT")
                urllib.request.urlopen(request, timeout=10).read()
                return
            except OSError:
                if attempt > 50:
                    raise
                time.sleep(0.2)

    def stop(self):
        for process in reversed(self.processes):
            process.terminate()
        codes = [process.wait(timeout=60) for process in self.processes]
        print(f"stopped {len(codes)} processes; exit codes: {sorted(set(codes))}")


def get(port, path):
    url = f"http://{ADDRESS}:{port}{path}"
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
        f"http://{ADDRESS}:{port}/v1/operator/preset",
        data=json.dumps({"preset": preset}).encode(), method="POST")
    with urllib.request.urlopen(request, timeout=10) as answer:
        return json.loads(answer.read())["version"]


def propagation_ms(ports, version, sent):
    """Returns the milliseconds from sent until the last process adopted the
    version, or None if one did not within the limit."""
    deadline = time.time() + PROPAGATION_LIMIT_SECONDS
    last = 0
    for port in ports:
        while True:
            try:
                seen = metrics(port)
            except OSError:
                seen = {}  # not listening yet, or exited
            if seen.get("wisteria_configuration_version", 0) >= version:
                break
            if time.time() > deadline:
                print(f"port {port} has version {seen.get('wisteria_configuration_version')}")
                return None
            time.sleep(0.02)
        last = max(last, seen["wisteria_configuration_adopted_wall_us"])
    return (last / 1e6 - sent) * 1e3


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def traffic(ports):
    """Returns the control messages and bytes of each process, both directions."""
    counts = {}
    for port in ports:
        seen = metrics(port)
        counts[port] = [
            sum(v for k, v in seen.items() if k.startswith(f"wisteria_control_{unit}_total"))
            for unit in ("messages", "bytes")]
    return counts


def report_traffic(role, ports, before, after, seconds):
    for index, unit in enumerate(("messages", "bytes")):
        rates = [(after[p][index] - before[p][index]) / seconds for p in ports]
        print(f"{role} control {unit}/s, both directions: "
              f"mean {sum(rates) / len(rates):.0f}, max {max(rates):.0f}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", default="hekkeform")
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--changes", type=int, default=30)
    parser.add_argument("--first_port", type=int, default=38000)
    parser.add_argument("--last_port", type=int, default=40000)
    options = parser.parse_args()
    os.chdir(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
    with tempfile.TemporaryDirectory() as run:
        running = fleet(options.deployment, options.routers, options.first_port,
                        options.last_port, run)
        try:
            with open(f"settings/{options.deployment}/configuration.json", "rb") as file:
                running.apply(file.read())
            routers, agents = running.routers, running.agents
            if propagation_ms(routers + agents, 1, time.time()) is None:
                raise RuntimeError("the initial configuration did not reach all processes")
            delays_ms = []
            for change in range(options.changes):
                sent = time.time()
                preset = "peak" if change % 2 == 0 else "ordinary"
                version = set_preset(routers[change % len(routers)], preset)
                delay_ms = propagation_ms(routers + agents, version, sent)
                if delay_ms is None:
                    print(f"change {change}: did not reach all processes "
                          f"within {PROPAGATION_LIMIT_SECONDS} s")
                else:
                    delays_ms.append(delay_ms)
                time.sleep(0.1)
            print(f"{len(delays_ms)} of {options.changes} changes reached {len(routers)} routers "
                  f"and {len(agents)} agents; ms from the operator's call: "
                  f"p50 {quantile(delays_ms, 0.5):.1f}, p90 {quantile(delays_ms, 0.9):.1f}, "
                  f"max {max(delays_ms):.1f}")
            before, start = traffic(routers + agents), time.time()
            time.sleep(STEADY_SECONDS)
            after, seconds = traffic(routers + agents), time.time() - start
            report_traffic("router", routers, before, after, seconds)
            report_traffic("agent", agents, before, after, seconds)
        finally:
            running.stop()


if __name__ == "__main__":
    main()
