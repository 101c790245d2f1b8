"""A conversation is forgotten whose last turn has just been answered, as an earlier turn of it ran out meanwhile.

Turn B goes on from turn A within retain_s and is answered whole, but its answer takes so long that A has run out when B is
retained. B is to be kept, together with its chain, for retain_s from then on. The gateway is killed, and turn C, which goes
on from B at once, is answered 404.
"""

import time

from stage import CannotRun, TROUBLE, play, service, stream_route, tenants

RETAIN_S = 20.0
PAUSE_S = 18.0  # from the end of turn A to the start of turn B
TIMEOUT_MS = 40_000
EVENT_S = 0.2  # under gap_aim_ms
EVENT_TOKENS = 35
EVENTS_OF_A, EVENTS_OF_B = 7, 120
PROGRAM = {"X_Cuminledge_Program_Id": "3fa81c", "X_Cuminledge_Session_Id": "77d20b",
           "X_Cuminledge_Program_Deadline_Ms": 90000, "X_Cuminledge_Token_Budget": 9000}


def turn(stage, front, text, events, previous=""):
    return stage.send(front, "/talk/1", text, deadline_ms=TIMEOUT_MS, X_Cuminledge_Previous_Turn=previous,
                      X_Cuminledge_Token_Usage=f"1840,{events * EVENT_TOKENS}", **PROGRAM)


def story(stage):
    stage.start()
    for i in range(2):
        stage.start_server(f"i-{i}", "engines", i, event_s=EVENT_S)
    route = stream_route("/talk/", "engines", retain_context=True, retain_s=RETAIN_S, timeout_ms=TIMEOUT_MS)
    stage.submit([route], [service("engines", True)], tenants())
    for i in range(len(stage.front_ips)):
        stage.wait_ready(i)
        stage.wait_served(i, "/talk/1")
    a = turn(stage, 0, b"The handle of the mamoty is 120 cm long.\n", EVENTS_OF_A)
    if not a.served_whole():
        raise CannotRun("turn A was not served")
    time.sleep(PAUSE_S)
    b = turn(stage, 0, b"Tell me all of the woods that fit.\n", EVENTS_OF_B, a.attempt)
    answered_b = time.monotonic()
    if not b.served_whole():
        print(f"turn B: {b.status}; it was not answered whole, so it need not be kept")
        return False
    tries = []
    if TROUBLE:
        stage.kill("front-0")
        tries.append(turn(stage, 1, b"And hickory?\n", EVENTS_OF_A, b.attempt))
        stage.start_machine("front", 0)
        stage.wait_ready(0)
    tries.append(turn(stage, 0, b"And hickory?\n", EVENTS_OF_A, b.attempt))
    since_s = time.monotonic() - answered_b
    statuses = [c.status for c in tries]
    stage.record("checked", previous=b.attempt, seconds_since_answered=round(since_s, 1), statuses=statuses)
    print(f"turn B was answered whole; within {since_s:.1f} s the turns that go on from it got {statuses}")
    return since_s < RETAIN_S and any(status in (404, 410) for status in statuses)


if __name__ == "__main__":
    play(__file__, story)
