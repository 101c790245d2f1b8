"""Scenario `capacity`: the slopes that docs/CAPACITY.md scales up: per client account, announced server, program."""

import json
import subprocess
import time

from bench_path import ACCOUNT, FAST_ENGINE, bench_manifest, of_role
from deployment import Deployment, SECRET, request
from figures import cpu_seconds, resident_bytes, run_load

ACCOUNTS = (8, 1000, 5200)
SERVERS = (100, 1000, 6100)
PROGRAMS = (1000, 4000)
SETTLE_SECONDS = 2
MEASURE_SECONDS = 5
ROLES = ("gateway", "controller")


def run(figures, base_port, build, folder):
    deployment = Deployment(base_port, build, folder, engine_settings=FAST_ENGINE, log_level="error")
    try:
        deployment.start()
        manifest = bench_manifest()
        accept(deployment, manifest)
        deployment.prepare(deployment.folder / "manifest.json")
        measure_programs(figures, deployment)
        measure_accounts(figures, deployment, manifest)
        measure_servers(figures, deployment)
    finally:
        deployment.stop()


def accept(deployment, manifest):
    file = deployment.folder / "manifest.json"
    file.write_text(json.dumps(manifest))
    deployment.ctl("manifest", "accept", str(file))


def memory(deployment, role):
    return max(resident_bytes(e["pid"]) for e in of_role(deployment, role))


def slope(points):
    """Least squares through (count, value) points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return over / sum((x - mean_x) ** 2 for x, _ in points)


def measure_programs(figures, deployment):
    """Open programs with one committed turn each, and none ended."""
    gateway = of_role(deployment, "gateway")[0]
    points = {role: [(0, memory(deployment, role))] for role in ROLES + ("sidecar",)}
    opened = 0
    for count in PROGRAMS:
        report = run_load(deployment, [gateway["address"]], deployment.keys[ACCOUNT], clients=64, seconds=3, turns=1,
                          keep_programs=True, programs=count)
        opened += report["programs"]
        for role, samples in points.items():
            samples.append((opened, memory(deployment, role)))
    for role, samples in points.items():
        figures.add(f"memory_per_open_program_{role}", "bytes", slope(samples), programs=opened)


def measure_accounts(figures, deployment, manifest):
    base = len(manifest["client_accounts"])
    points = {role: [] for role in ROLES}
    for number, count in enumerate(ACCOUNTS):
        grown = dict(manifest, number=manifest["number"] + number + 1)
        grown["client_accounts"] = manifest["client_accounts"] + [
            {"id": f"account-{i}", "rate_per_second": 5, "burst": 10} for i in range(max(0, count - base))]
        accept(deployment, grown)
        time.sleep(SETTLE_SECONDS)
        for role, samples in points.items():
            samples.append((count, memory(deployment, role)))
        figures.add("manifest_bytes", "bytes", len(json.dumps(grown)), accounts=count)
    for role, samples in points.items():
        figures.add(f"memory_per_account_{role}", "bytes", slope(samples))


def peer_bytes(entry):
    state = json.loads(request(entry["admin_address"], "GET", "/debug/state")[2])
    return sum(p["bytes_in"] + p["bytes_out"] for p in state["host"]["peers"])


def announcers(deployment, count, seconds):
    controllers = ",".join(f"{c['name']}={c['address']}" for c in deployment.controllers)
    command = [str(deployment.bin / "standin_announcers"), "--controllers", controllers, "--secret", SECRET,
               "--count", str(count), "--seconds", str(seconds)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def measure_servers(figures, deployment):
    points = {role: [] for role in ROLES}
    cpu_points = {role: [] for role in ROLES}
    for count in SERVERS:
        process = announcers(deployment, count, SETTLE_SECONDS + MEASURE_SECONDS + 2)
        time.sleep(SETTLE_SECONDS)
        entries = of_role(deployment, "gateway") + of_role(deployment, "controller")
        before = {e["name"]: cpu_seconds(e["pid"]) for e in entries}
        bytes_before = {e["name"]: peer_bytes(e) for e in entries}
        time.sleep(MEASURE_SECONDS)
        for role in ROLES:
            of = of_role(deployment, role)
            cpu = max(cpu_seconds(e["pid"]) - before[e["name"]] for e in of) / MEASURE_SECONDS
            moved = max(peer_bytes(e) - bytes_before[e["name"]] for e in of) / MEASURE_SECONDS
            figures.add(f"cpu_with_announced_servers_{role}", "% of a core", cpu * 100, servers=count)
            figures.add(f"peer_bytes_with_announced_servers_{role}", "bytes/s", moved, servers=count)
            points[role].append((count, memory(deployment, role)))
            cpu_points[role].append((count, cpu))
        process.wait(30)
        figures.add("announcements_accepted", "1/s", json.loads(process.stdout.read())["accepted"]
                    / (SETTLE_SECONDS + MEASURE_SECONDS + 2), servers=count)
    for role in ROLES:
        figures.add(f"memory_per_announced_server_{role}", "bytes", slope(points[role]))
        figures.add(f"cpu_per_announced_server_{role}", "% of a core", slope(cpu_points[role]) * 100)
