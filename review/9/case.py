"""A chain of over 1,000 turns: the engine gets a prompt from which the oldest turns are missing, and the turn is answered 200."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stage_2 import ENGINE, CannotRun, Client, Server, Stage, play, route, service  # noqa: E402

TURNS = 1010
TURNS_IN_CALM = 990
OUTPUT = b"token-1\n"  # the data of the one event, and a line feed


class Engine(Server):
    bodies = {}

    async def work(self, writer, method, path, headers, body):
        self.bodies[headers["x-cuminledge-attempt-id"]] = body
        await self.stream(writer, headers, 1, 0)


async def case(trouble):
    async with Stage(FOLDER / "record.txt", front_memory_mb=110) as stage:
        await stage.configure({
            "routes": [route("chat", "/chat/", "streaming", "models", sticky=True, retain_context=True, gap_aim_ms=250)],
            "services": [service("models", engine=ENGINE)],
            "tenants": [{"name": "alice", "api_keys": ["key-a"], "priority": 1, "rate_per_s": 255, "burst": 255}]})
        for zone in ("z1", "z2", "z3"):
            await Engine(stage, "models", zone, 16).start()
        await stage.until_ready()
        await asyncio.sleep(1)
        client = Client(stage, stage.fronts[0], "key-a")
        chain, previous, wrong, turn, refused = b"", "", [], 0, 0
        while turn < (TURNS if trouble else TURNS_IN_CALM):
            piece = f"input {turn}\n".encode()
            headers = {"X-Cuminledge-Token-Usage": "10,35", "X-Cuminledge-Program-Id": "loops", "X-Cuminledge-Token-Budget": "1000000",
                       **({"X-Cuminledge-Previous-Turn": previous} if previous else {})}
            attempt, status, *_ = await client.send("POST", "/chat/1", piece, headers=headers)
            if status != 200:
                refused += 1
                if refused > 50:
                    raise CannotRun(f"turn {turn} was answered {status}")
                await asyncio.sleep(0.3)
                continue
            got = Engine.bodies[attempt]
            if got != chain + piece:
                stage.record("wrong_body", turn=turn, attempt=attempt, got_bytes=len(got), chain_and_input_bytes=len(chain + piece),
                             begins_with=got[:9], chain_begins_with=chain[:9])
                wrong.append(turn)
            chain += piece + OUTPUT
            previous = attempt
            turn += 1
        print(f"{turn} turns answered 200, wrong prompts in turns {wrong[:3]}..., refused {refused}")
        return f"{len(wrong)} turns ran without the first turns of their chain, from turn {wrong[0] + 1} on" if wrong else ""


play(case)
