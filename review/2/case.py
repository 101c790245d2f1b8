"""One server whose answers never end makes gateways use more memory than their machines have.

One of three servers of a plain service sends bodies without end, until its caller closes. Clients pay, read at the pace of
their link and leave at their deadline. The platform, as its pages say, ends a process that uses more than memory_mb and
starts it again. A tenth of the machines in use, two at least, may not end three times in a day.
"""

import threading
import time

from stage import CONTACT_S, HOST, TROUBLE, play, service, tenants

MEMORY_MB = 110  # of a front machine of kgs-handle
FRONTS = (0, 1)  # by turns
PAYMENTS = 15  # at once at a front machine, about five for each server; a server takes six at once
ROUNDS = 12
ROUND_S = 2.5
TIMES_ENDED = 3
DEADLINE_MS = 1500
READ_BYTES, READ_PAUSE_S = 65536, 0.005  # about 100 Mbit/s
RESTART_S = 0.3


def resident_mb(pid):
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) / 1000 for line in status if line.startswith("VmRSS"))
    except (OSError, StopIteration):
        return 0.0


class Platform:
    """Ends each front machine's process that uses more than memory_mb, and starts it again."""

    def __init__(self, stage):
        self.stage = stage
        self.ended = {i: 0 for i in range(len(stage.front_ips))}
        self.peak = dict(self.ended)
        self.stopping = False
        self.thread = threading.Thread(target=self.watch)
        self.thread.start()

    def watch(self):
        while not self.stopping:
            for i in self.ended:
                process = self.stage.processes[f"front-{i}"]
                used = resident_mb(process.pid)
                self.peak[i] = max(self.peak[i], used)
                if used > MEMORY_MB:
                    self.stage.record("over_memory", machine=f"front-{i}", used_mb=round(used), memory_mb=MEMORY_MB)
                    self.ended[i] += 1
                    self.stage.kill(f"front-{i}")
                    time.sleep(RESTART_S)
                    self.stage.start_machine("front", i)
            time.sleep(0.005)

    def stop(self):
        self.stopping = True
        self.thread.join()


def pay(stage, front, text, answers):
    answers.append(stage.send(front, "/call/pay", text, deadline_ms=DEADLINE_MS, pace=(READ_BYTES, READ_PAUSE_S)))


def story(stage):
    stage.start()
    for i in range(3):
        faulty = TROUBLE and i == 2
        stage.start_server(f"c-{i}", "shop-actions", i, engine=False,
                           program="endless_server.py" if faulty else "server.py")
    route = {"name": "r-pay", "host": HOST, "path_prefix": "/call/", "kind": "unsafe", "timeout_ms": 1500,
             "target_latency_ms": 150, "priority": 0, "service": "shop-actions", "max_attempts": 1, "public": False}
    stage.submit([route], [service("shop-actions", False)], tenants())
    for i in range(len(stage.front_ips)):
        stage.wait_ready(i)
    time.sleep(CONTACT_S)
    platform = Platform(stage)
    answers = []
    for round_number in range(ROUNDS):
        began = time.monotonic()
        front = FRONTS[round_number % len(FRONTS)]
        clients = [threading.Thread(target=pay, args=(stage, front, b"%d.%d" % (round_number, k), answers))
                   for k in range(PAYMENTS)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        time.sleep(max(0.0, began + ROUND_S - time.monotonic()))
    platform.stop()
    whole = sum(answer.served_whole() for answer in answers)
    peak = {i: round(used) for i, used in platform.peak.items()}
    stage.record("checked", ended=platform.ended, peak_mb=peak, payments=len(answers), answered_whole=whole)
    print(f"ended over {MEMORY_MB} MB, by front machine: {platform.ended}; peak MB: {peak}; "
          f"{whole} of {len(answers)} payments answered whole")
    return sum(times >= TIMES_ENDED for times in platform.ended.values()) >= 2


if __name__ == "__main__":
    play(__file__, story)
