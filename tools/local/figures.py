"""Figures of a bench run: one JSON object a line, as `scenario, metric, unit, value, baseline, ratio, target, met`."""

import json
import os
import subprocess

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Figures:
    """Collects the figures of one scenario and prints each as it comes."""

    def __init__(self, scenario, seed, out=None):
        self.scenario = scenario
        self.seed = seed
        self.out = open(out, "w", encoding="utf-8") if out else None
        self.missed = []

    def add(self, metric, unit, value, baseline=None, target=None, met=None, **extra):
        """Prints one figure. `target` is text such as "< 2"; `met` says whether the value meets it."""
        figure = {"scenario": self.scenario, "seed": self.seed, "metric": metric, "unit": unit, "value": value,
                  "baseline": baseline, "ratio": value / baseline if baseline else None, "target": target, "met": met}
        figure.update(extra)
        line = json.dumps(figure)
        print(line, flush=True)
        if self.out:
            self.out.write(line + "\n")
            self.out.flush()
        if met is False:
            self.missed.append(metric)


def resident_bytes(pid):
    """Resident memory of a process."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def cpu_seconds(pid):
    """Processor time a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def run_load(deployment, targets, key="", **options):
    """Runs cuminledge-load to its end and returns its report."""
    command = [str(deployment.bin / "cuminledge-load"), "--targets", ",".join(targets), "--key", key]
    if not key:
        command = command[:-2]
    for name, value in options.items():
        flag = "--" + name.replace("_", "-")
        command += [flag] if value is True else [flag, str(value)]
    run = subprocess.run(command, capture_output=True, text=True, timeout=300, check=False)
    if run.returncode != 0:
        raise RuntimeError(f"{' '.join(command)}: exit {run.returncode}: {run.stderr}")
    return json.loads(run.stdout)
