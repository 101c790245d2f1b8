"""Scenario `path`: what the whole system adds to calling a model engine directly, its throughput and its memory."""

import json
import time

from deployment import Deployment, ROOT, request
from figures import cpu_seconds, resident_bytes, run_load

IDLE_SECONDS = 3
TARGET_ADDED_MEDIAN_MS = 2.0
TARGET_ADDED_P99_MS = 10.0
TARGET_IDLE_BYTES = 32 << 20
TARGET_CALLS_PER_SECOND = 2000
MEBIBYTE = 1 << 20
OPEN_PROGRAMS = 5000

# An engine that answers at once, so that what is measured is the system before it.
FAST_ENGINE = {"prefill_tokens_per_second": 100000000, "decode_step_us": 1, "decode_step_per_sequence_us": 0}
ACCOUNT = "franchise-counter"


def bench_manifest():
    """The sample manifest with rates that this bench does not reach."""
    manifest = json.loads((ROOT / "examples" / "manifest.json").read_text())
    for account in manifest["client_accounts"]:
        account["rate_per_second"] = 100000
        account["burst"] = 200000
    return manifest


def run(figures, base_port, build, folder):
    deployment = Deployment(base_port, build, folder, engine_settings=FAST_ENGINE, log_level="warning")
    try:
        deployment.start()
        manifest_file = deployment.folder / "manifest.json"
        manifest_file.write_text(json.dumps(bench_manifest()))
        deployment.prepare(manifest_file)
        measure_idle(figures, deployment)
        measure_calls(figures, deployment)
        measure_programs(figures, deployment)
    finally:
        deployment.stop()


def of_role(deployment, role):
    return [e for e in deployment.entries if e["role"] == role]


def measure_idle(figures, deployment):
    before = {e["name"]: cpu_seconds(e["pid"]) for e in deployment.entries}
    time.sleep(IDLE_SECONDS)
    for role in ("gateway", "sidecar", "controller"):
        entries = of_role(deployment, role)
        memory = max(resident_bytes(e["pid"]) for e in entries)
        target = TARGET_IDLE_BYTES / MEBIBYTE if role != "controller" else None
        figures.add(f"idle_memory_{role}", "MiB", memory / MEBIBYTE, target=f"< {target}" if target else None,
                    met=memory < TARGET_IDLE_BYTES if target else None)
        used = max(cpu_seconds(e["pid"]) - before[e["name"]] for e in entries) / IDLE_SECONDS
        figures.add(f"idle_cpu_{role}", "% of a core", used * 100)


def measure_calls(figures, deployment):
    key = deployment.keys[ACCOUNT]
    engines = [e["address"] for e in of_role(deployment, "engine")]
    gateway = of_role(deployment, "gateway")[0]
    run_load(deployment, [gateway["address"]], key, clients=4, seconds=2)
    direct = run_load(deployment, engines, clients=1, seconds=4, turns=1, seed=figures.seed)
    system = run_load(deployment, [gateway["address"]], key, clients=1, seconds=4, turns=4, seed=figures.seed)
    added = system["call"]["p50_ms"] - direct["call"]["p50_ms"]
    figures.add("added_latency_median_one_client", "ms", added, target=f"< {TARGET_ADDED_MEDIAN_MS}",
                met=added < TARGET_ADDED_MEDIAN_MS)
    figures.add("call_latency_median_one_client", "ms", system["call"]["p50_ms"], direct["call"]["p50_ms"])

    used = cpu_seconds(gateway["pid"])
    most = run_load(deployment, [gateway["address"]], key, clients=64, seconds=6, turns=4, seed=figures.seed)
    used = cpu_seconds(gateway["pid"]) - used
    figures.add("calls_per_second_one_gateway", "1/s", most["calls_per_second"], target=f">= {TARGET_CALLS_PER_SECOND}",
                met=most["calls_per_second"] >= TARGET_CALLS_PER_SECOND, failures=most["failures"])
    figures.add("calls_per_second_per_gateway_core", "1/s", most["calls"] / max(used, 0.01))

    half = most["calls_per_second"] / 2
    direct = run_load(deployment, engines, clients=256, seconds=6, turns=1, rate=half, seed=figures.seed)
    system = run_load(deployment, [gateway["address"]], key, clients=256, seconds=6, turns=4, rate=half,
                      seed=figures.seed)
    for quantile, target in (("p50_ms", TARGET_ADDED_MEDIAN_MS), ("p99_ms", TARGET_ADDED_P99_MS)):
        added = system["call"][quantile] - direct["call"][quantile]
        figures.add(f"added_latency_{quantile[:3]}_half_load", "ms", added, target=f"< {target}", met=added < target,
                    calls_per_second=system["calls_per_second"], failures=system["failures"])
        figures.add(f"call_latency_{quantile[:3]}_half_load", "ms", system["call"][quantile],
                    direct["call"][quantile])


def measure_programs(figures, deployment):
    """Memory of a program under way: opens many, each with one committed turn, and none ended."""
    roles = ("gateway", "sidecar", "controller")
    gateway = of_role(deployment, "gateway")[0]
    before = {r: max(resident_bytes(e["pid"]) for e in of_role(deployment, r)) for r in roles}
    report = run_load(deployment, [gateway["address"]], deployment.keys[ACCOUNT], clients=64, seconds=20, turns=1,
                      keep_programs=True, programs=OPEN_PROGRAMS)
    opened = max(1, report["programs"])
    for role in roles:
        grown = max(resident_bytes(e["pid"]) for e in of_role(deployment, role)) - before[role]
        figures.add(f"memory_per_program_{role}", "bytes", grown / opened, programs=opened)
