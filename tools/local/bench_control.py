"""Scenario `control`, on processes: failover, time until a change is in force, and what a change costs a gateway."""

import json
import time

from deployment import Deployment, ROOT, request
from figures import cpu_seconds, resident_bytes

ACCOUNT = "franchise-counter"
TARGET_FAILOVER_SECONDS = 2.0
TARGET_IN_FORCE_SECONDS = 3.0
TARGET_BYTES_PER_SECOND = 4096
TARGET_CPU_PERCENT = 1.4
CHANGES_PER_DAY = 11000
SECONDS_PER_DAY = 86400
CHANGES = 200
ROUNDS = 5
POLL_SECONDS = 0.01
GUARD_SECONDS = 30


def run(figures, base_port, build, folder):
    deployment = Deployment(base_port, build, folder, log_level="warning")
    try:
        deployment.start()
        deployment.prepare(ROOT / "examples" / "manifest.json")
        measure_change_cost(figures, deployment)
        measure_in_force(figures, deployment, "in_force_all_controllers")
        measure_failover(figures, deployment)
        deployment.kill("controller-3")
        wait_for(lambda: deployment.ctl("status", check=False).returncode == 0)
        measure_in_force(figures, deployment, "in_force_one_controller_gone")
    finally:
        deployment.stop()


def wait_for(holds):
    """Polls until `holds()`; returns the seconds it took."""
    start = time.monotonic()
    while True:
        try:
            if holds():
                return time.monotonic() - start
        except OSError:
            pass
        if time.monotonic() - start > GUARD_SECONDS:
            raise RuntimeError("never happened")
        time.sleep(POLL_SECONDS)


def gateways(deployment):
    return [e for e in deployment.entries if e["role"] == "gateway"]


def issue(deployment):
    return json.loads(deployment.ctl("--output", "json", "key", "issue", ACCOUNT).stdout)


def status_with(gateway, key):
    return request(gateway["address"], "POST", "/v1/programs", {"route": "quotes"},
                   {"Authorization": f"Bearer {key}"}, timeout=5)[0]


def measure_in_force(figures, deployment, metric):
    """From the operator's answer until every gateway acts on it: for a new key, and for its withdrawal."""
    issued, withdrawn = [], []
    for _ in range(ROUNDS):
        key = issue(deployment)
        issued.append(max(wait_for(lambda g=g: status_with(g, key["key"]) == 201) for g in gateways(deployment)))
        deployment.ctl("key", "withdraw", key["key_id"])
        withdrawn.append(max(wait_for(lambda g=g: status_with(g, key["key"]) == 401) for g in gateways(deployment)))
    for what, samples in (("issued", issued), ("withdrawn", withdrawn)):
        worst = max(samples)
        figures.add(f"{metric}_key_{what}", "s", worst, target=f"< {TARGET_IN_FORCE_SECONDS}",
                    met=worst < TARGET_IN_FORCE_SECONDS, rounds=ROUNDS)


def leader_of(deployment, group):
    status = json.loads(deployment.ctl("--output", "json", "status").stdout)
    return next(g["leader"] for g in status["groups"] if g["group"] == group)


def measure_failover(figures, deployment):
    """kill -9 of group 0's leader until an operator's command succeeds again and a call is served."""
    operators, callers = [], []
    gateway = gateways(deployment)[0]
    key = issue(deployment)["key"]
    wait_for(lambda: status_with(gateway, key) == 201)
    for _ in range(3):
        leader = leader_of(deployment, 0)
        deployment.kill(leader)
        start = time.monotonic()
        wait_for(lambda: deployment.ctl("key", "issue", ACCOUNT, check=False).returncode == 0)
        operators.append(time.monotonic() - start)
        wait_for(lambda: status_with(gateway, key) == 201)
        callers.append(time.monotonic() - start)
        deployment.start_process(leader)
        deployment.wait_until_ready(deployment.entry(leader)["admin_address"])
        time.sleep(1)
    for what, samples in (("operator", operators), ("caller", callers)):
        worst = max(samples)
        figures.add(f"failover_{what}", "s", worst, target=f"< {TARGET_FAILOVER_SECONDS}",
                    met=worst < TARGET_FAILOVER_SECONDS, kills=len(samples))


def peer_bytes(deployment, entry):
    state = json.loads(request(entry["admin_address"], "GET", "/debug/state")[2])
    return sum(p["bytes_in"] + p["bytes_out"] for p in state["host"]["peers"] if p["peer"].startswith("controller"))


def measure_change_cost(figures, deployment):
    """Bytes and processor time of a gateway at rest, and for each change; scaled to the letter's changes a day."""
    gateway = gateways(deployment)[0]
    seconds = 5
    bytes_before, cpu_before = peer_bytes(deployment, gateway), cpu_seconds(gateway["pid"])
    time.sleep(seconds)
    idle_bytes = (peer_bytes(deployment, gateway) - bytes_before) / seconds
    idle_cpu = (cpu_seconds(gateway["pid"]) - cpu_before) / seconds
    memory_before = resident_bytes(gateway["pid"])
    bytes_before, cpu_before, start = peer_bytes(deployment, gateway), cpu_seconds(gateway["pid"]), time.monotonic()
    for _ in range(CHANGES // 2):
        deployment.ctl("key", "withdraw", issue(deployment)["key_id"])
    time.sleep(1)
    elapsed = time.monotonic() - start
    per_change_bytes = (peer_bytes(deployment, gateway) - bytes_before - idle_bytes * elapsed) / CHANGES
    per_change_cpu = max(0.0, cpu_seconds(gateway["pid"]) - cpu_before - idle_cpu * elapsed) / CHANGES
    figures.add("gateway_bytes_at_rest", "bytes/s", idle_bytes)
    figures.add("gateway_bytes_per_change", "bytes", per_change_bytes)
    figures.add("gateway_cpu_per_change", "ms", per_change_cpu * 1000)
    figures.add("gateway_memory_per_change", "bytes", (resident_bytes(gateway["pid"]) - memory_before) / CHANGES)
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    total = idle_bytes + per_change_bytes * changes
    figures.add("gateway_control_bytes_at_full_rate", "bytes/s", total, target=f"< {TARGET_BYTES_PER_SECOND}",
                met=total < TARGET_BYTES_PER_SECOND)
    cpu = (idle_cpu + per_change_cpu * changes) * 100
    figures.add("gateway_control_cpu_at_full_rate", "% of a core", cpu, target=f"< {TARGET_CPU_PERCENT}",
                met=cpu < TARGET_CPU_PERCENT)
