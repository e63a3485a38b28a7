"""A runner leaves unannounced while new weights are named and the platform's store turns one machine away."""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

import engines  # noqa: E402
from standins import BROKEN, HAS_TROUBLE, HELD, NOT_RUN, free_ports, read_answer, run_case  # noqa: E402

SESSIONS = 95
SHARED_TOKENS, SESSION_TOKENS, OWN_TOKENS = 512, 8_610, 2_870
PROMPTS_PER_S = 22


def configuration(stores):
    route = {"name": "draft", "host": "desk.example", "pathPrefix": "/draft/", "service": "rota-models", "kind": "stream", "attempts": 1,
             "timeoutMs": 12000, "goalMs": 1200, "gapAimMs": 400, "priority": 2, "sticky": True}
    engine = {"capacity": 64, "kvTokens": engines.RUNNER_TOKENS, "kvBytes": engines.KV_BYTES, "linkMbps": 310000.0}
    models = {"name": "rota-models", "healthPath": "/healthz", "maxConns": 360, "engine": engine}
    return {"version": 1, "routes": [route], "services": [models] + [store.service() for store in stores],
            "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 10000}}


async def prompt(world, gateway, session, answers):
    request = f"{random.getrandbits(64):016x}"
    parts = f"5c1e07a2:{SHARED_TOKENS},{0x91bd0000 + session:x}:{SESSION_TOKENS},{random.getrandbits(48):x}:{OWN_TOKENS}"
    tokens = SHARED_TOKENS + SESSION_TOKENS + OWN_TOKENS
    head = (f"POST /draft/{session} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 12000\r\nX-Model: {engines.MODEL}\r\n"
            f"X-Token-Count: {tokens},5\r\nX-Prompt-Prefix: {parts}\r\nContent-Length: 4\r\n\r\nbody")
    world.record.write(f"client sends {request} (session {session}) to {gateway.name}")
    try:
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        writer.write(head.encode())
        status, fields, _, is_whole = await asyncio.wait_for(read_answer(reader), 13)
        writer.close()
        world.record.write(f"client gets {status} for {request}, {'whole' if is_whole else 'broken off'}, signature {fields.get('x-server-seal', 'none')}")
        answers.append(status)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        world.record.write(f"client gets no answer for {request}: {error!r}")
        answers.append(0)


async def play(world):
    record = world.record
    host = f"{world.network}.2"
    stores = [engines.CacheStore(record, "shelf-west", "providence", 1_410_516, 6.0, 1_100_000.0)]
    ports = free_ports(host, len(stores) + 3)
    for store, port in zip(stores, ports):
        store.address = f"{host}:{port}"
        await store.listen(host, port)
        world.servers.append(store)
    by_address = {store.address: store for store in stores}
    runners = []
    for i, zone in enumerate(["hartford", "providence", "worcester"]):
        runner = engines.Engine(record, world.store, by_address, f"i-{i + 1}", "rota-models", zone)
        runner.address = f"{host}:{ports[len(stores) + i]}"
        await runner.listen(host, ports[len(stores) + i])
        runner.tasks.add(asyncio.ensure_future(runner.heartbeat()))
        world.servers.append(runner)
        runners.append(runner)
    world.store.put("op/config", configuration(stores))
    world.store.put(f"op/version/{engines.MODEL}", {"model": engines.MODEL, "version": 1})
    for zone in ["hartford", "providence", "worcester"]:
        (await world.add_gateway(zone)).start()
    for gateway in world.gateways:
        if not await gateway.await_ready():
            record.result(f"could not run: {gateway.name} isn't ready")
            return NOT_RUN
    await asyncio.sleep(4)  # The store's parts may be saved, and the holder of orders may give them.

    # Every session comes once. The runners save their parts, which are more than they keep themselves.
    answers = []
    tasks = []
    for session in range(SESSIONS):
        tasks.append(asyncio.ensure_future(prompt(world, world.gateways[session % 3], session, answers)))
        await asyncio.sleep(0.13)
    await asyncio.gather(*tasks)
    await asyncio.sleep(2)
    saved = sum(len(store.parts) for store in stores)
    record.write(f"the stores hold {saved} parts")
    if saved < SESSIONS // 2:
        record.result("could not run: too few parts were saved")
        return NOT_RUN

    # The machine that gives the orders stays in touch with the platform's store; another one is turned away.
    leader = next((g for g in world.gateways if "key=rollout/leader" in g.log() and "lease_acquired" in g.log()), world.gateways[0])
    others = [g for g in world.gateways if g is not leader]
    away = others[0]
    if HAS_TROUBLE:
        record.write(f"the platform's store turns {away.name} away (503)")
        away.door.shut()
    returns = []

    async def callers():
        while True:
            returns.append(asyncio.ensure_future(prompt(world, away, random.randrange(SESSIONS), answers)))
            await asyncio.sleep(1 / PROMPTS_PER_S)

    traffic = asyncio.ensure_future(callers())
    await asyncio.sleep(1.5)
    leaving = runners[2]
    if HAS_TROUBLE:
        record.write(f"{leaving.name} leaves: its entry is removed, and it goes on serving for drainMs (2 s) and a little longer")
        leaving.leave_unannounced()
    record.write("the operator names version 2")
    world.store.put(f"op/version/{engines.MODEL}", {"model": engines.MODEL, "version": 2})
    await asyncio.sleep(3.0)
    traffic.cancel()
    await asyncio.gather(*returns, return_exceptions=True)
    await asyncio.sleep(1.0)

    used = 0
    broken = 0
    for runner in runners:
        for fetch in runner.fetches:
            used += 1
            if any(fetch["start"] < at < fetch["end"] for at in fetch["store"].frees.get(fetch["key"], [])):
                broken += 1
                record.result(f"MIXED: {fetch['request']} at {runner.name} reads part {fetch['key']} of {fetch['store'].name}, which is freed before the fetch has ended")
    freed = sum(len(times) for store in stores for times in store.frees.values())
    record.result(f"{len(answers)} prompts, {sum(1 for a in answers if a == 200)} served, {used} fetches used, {freed} parts freed, {broken} fetches of parts freed meanwhile")
    if freed == 0 or used == 0:
        record.result("could not run: nothing was fetched or freed")
        return NOT_RUN
    return BROKEN if broken else HELD


run_case(os.path.join(FOLDER, "record.txt"), play)
