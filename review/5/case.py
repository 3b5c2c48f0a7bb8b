"""All open connections to the store go silent; new ones work."""

import asyncio
from pathlib import Path

from lab.lab import HOST, CannotRunError, main
from lab.proxy import Proxy
from lab.worker import Work

CLIENTS = 40
CONTACT_S = 3
CONFIG_APPLY_S = 2
JOB = "5c0e7a21d94b36f8"


async def keep_submitting(lab):
    """Hand in four jobs a second, to the instances in turn."""
    number = 0
    step = {"count": 1, "cpu": 1_000, "memMb": 256, "estimatedMs": 500}
    while True:
        job = f"{0xa000000000000000 + number:016x}"
        body = {"spec": "", "phases": [step]}
        await lab.call("POST", f"/rounds/{job}", body, number)
        number += 1
        await asyncio.sleep(0.25)


async def play(lab, trouble):
    routes = {"rounds": {"priority": 0, "maxAttempts": 3}}
    lab.configure(routes, version=3)
    lab.work = lambda task, number, worker: Work(0.5)
    for number in range(4):
        await lab.add_worker(f"i-7f3a910{number}", 16_000, rack=f"r1-{number}")
    address, _ = await lab.serve(lab.store.handle)
    proxy = Proxy(address)
    await proxy.start(HOST)
    lab.proxies, lab.is_store_proxied = [proxy], True
    await lab.start()
    await asyncio.sleep(2)
    step = {"count": 1, "cpu": 1_000, "memMb": 256, "estimatedMs": 500}
    if not await lab.submit("rounds", JOB, [step]):
        raise CannotRunError("the job was not accepted")
    for _ in range(3):
        await asyncio.gather(
            *(lab.state("rounds", JOB, number) for number in range(CLIENTS))
        )
        await asyncio.sleep(1)
    lab.spawn(keep_submitting(lab))
    if trouble:
        count = proxy.silence()
        lab.record("disruption", f"{count} open connections to the store go silent")
    await asyncio.sleep(CONTACT_S + 0.2)
    routes["offers"] = {"priority": 0, "maxAttempts": 3}
    lab.configure(routes, version=7)
    lab.record("operator", "version 7 with a new route is acknowledged")
    await asyncio.sleep(CONFIG_APPLY_S + 0.2)
    faults = []
    for second in range(12):
        late_s = CONFIG_APPLY_S + 0.2 + second
        for number in range(len(lab.instances)):
            status, _ = await lab.call("GET", "/offers/", None, number)
            if status == 404:
                faults.append(
                    f"instance {number} answers 404 on the new route about {late_s:.1f} s "
                    "after the acknowledgement"
                )
        await asyncio.sleep(1)
    return faults


main(Path(__file__).parent, play)
