"""A second copy of a 421 comes where the answer to the next request is expected."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand_ins  # noqa: E402

# With TROUBLE=0 the case does the same without its disruption.
HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
SERVICE = "fieldbook"
ROUTE = "book"
# With 1 the router answers 503 instead of sending the request again.
MAX_ATTEMPTS = int(os.environ.get("ATTEMPTS", "2"))
DEADLINE_MS = 1000
WORK_S = 0.045
# One late copy among so many answers of a server stays within 3 in 100.
WARM_UP_COUNT = 40
DOWN_S = 0.5
# Until the list shows the new incarnation and the replicas have read it.
LISTED_AFTER_S = 2.2
AFTER_COUNT = 10


async def play(record: stand_ins.Record, systems: list[stand_ins.System]) -> list[str]:
    """Restart a server, and send its first answer a second time, late."""
    system = stand_ins.System(record, routers_count=1)
    systems.append(system)
    await system.start()
    engines = [
        stand_ins.Engine(
            record, name, f"i-{name}-1", SERVICE, zone, stand_ins.make_work(WORK_S)
        )
        for name, zone in (("near", "zone-a"), ("far", "zone-b"))
    ]
    for number, engine in enumerate(engines):
        engine.host = system.host_of_engine(number)
        await engine.start()
    near = engines[0]
    system.platform.show(engines)
    route = stand_ins.make_route(ROUTE, "unsafe", SERVICE, maxAttempts=MAX_ATTEMPTS)
    services = [stand_ins.make_service(SERVICE)]
    await system.put(stand_ins.make_table(1, [route], services))
    router = system.routers[0]
    await system.wait_until_ready(router)
    client = stand_ins.Client(record, router.host, system.port)
    answers = []
    for _ in range(WARM_UP_COUNT):
        answers.append(await client.send("POST", f"/{ROUTE}/2f", b"x", DEADLINE_MS))

    record.write(f"server {near.server_id} crashes")
    await near.crash()
    await asyncio.sleep(DOWN_S)
    near.server_id = "i-near-2"
    install_late_copy(record, near)
    await near.start()
    system.platform.show(engines)
    record.write(f"server {near.server_id} starts at its address")
    answers.append(await client.send("POST", f"/{ROUTE}/2f", b"x", DEADLINE_MS))
    await asyncio.sleep(LISTED_AFTER_S)
    for _ in range(AFTER_COUNT):
        answers.append(await client.send("POST", f"/{ROUTE}/2f", b"x", DEADLINE_MS))
    client.close()
    return find_breaks(record, answers, engines)


def install_late_copy(record: stand_ins.Record, engine: stand_ins.Engine) -> None:
    """Let a server send its first 421 again when the next request has come."""
    misdirected: dict[asyncio.StreamWriter, str] = {}
    sent = []

    async def before_response(engine, request, writer) -> None:
        echoed = request.headers["request-id"]
        if request.headers.get("expect-instance") != engine.server_id:
            misdirected.setdefault(writer, echoed)
        elif writer in misdirected and not sent and HAS_TROUBLE:
            earlier = misdirected[writer]
            sent.append(earlier)
            writer.write(engine.misdirected(earlier))
            record.write(
                f"server {engine.server_id}: late copy of the 421 to {earlier} while "
                f"{echoed} is open"
            )

    engine.before_response = before_response


def find_breaks(record, answers, engines) -> list[str]:
    """Return where a request ran twice, or ran and was answered 503."""
    runs: dict[str, int] = {}
    for engine in engines:
        for _, echoed, outcome in engine.arrivals:
            runs[echoed] = runs.get(echoed, 0) + (outcome == "run")
    statuses = {echoed: response and response.status for echoed, response in answers}
    misdirected = [outcome for _, _, outcome in engines[0].arrivals if outcome == "421"]
    if not misdirected:
        raise stand_ins.NotRunError("no request met the new incarnation too early")
    later = [echoed for _, echoed, _ in engines[0].arrivals][-1]
    record.write(f"the last request at the restarted server was {later}")
    twice = [
        f"TWICE: unsafe request {echoed} ran {count} times"
        for echoed, count in runs.items()
        if count > 1
    ]
    refused = [
        f"REFUSED: unsafe request {echoed} ran and was answered {statuses[echoed]}"
        for echoed, count in runs.items()
        if count and statuses.get(echoed) in (408, 421, 429, 503)
    ]
    return twice + refused


if __name__ == "__main__":
    stand_ins.run(__file__, play, HAS_TROUBLE)
