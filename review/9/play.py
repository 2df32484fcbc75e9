import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lab"))
from lab import Client, Database, Service, run_case, write_loop


async def play(lab, trouble):
    port = lab.ports["db"]
    bookings = lab.services["bookings"] = Service(lab, "bookings", sync=1)
    archive = lab.services["archive"] = Service(lab, "archive", sync=0)
    p = bookings.add(Database(bookings, "db-p", lab.ip(21), port, "z-a"), primary=True)
    a = bookings.add(Database(bookings, "db-a", lab.ip(22), port, "z-c", delay_s=0.0028))
    b = bookings.add(Database(bookings, "db-b", lab.ip(23), port, "z-b"))
    q = archive.add(Database(archive, "db-q", lab.ip(24), port, "z-b"), primary=True)

    await lab.start_system()
    for db in (p, a, b, q):
        await db.start()
    await lab.put_config(
        lab.config(1, [("book", "primary", "bookings"), ("old", "primary", "archive")])
    )
    await lab.wait_ready()
    await asyncio.sleep(2)
    counts = {}
    writers = [
        asyncio.create_task(
            write_loop(lab, lambda ip=ip: Client(lab, bookings, ip, "book"), 0.05, counts)
        )
        for ip in lab.entry_ips()
    ]
    await asyncio.sleep(3)
    if trouble:
        lab.record("db-b receives nothing")
        b.deaf = True
    await asyncio.sleep(2)
    if trouble:
        lab.record("the platform is down")
        lab.platform_up = False
        await p.stop("lost for good")
        await asyncio.sleep(2.2)
        new = archive.add(Database(archive, "db-r", p.ip, port, "z-a"))
        await new.start()
        new.catch_up()
        await asyncio.sleep(1.8)
        lab.record("the platform is back; db-b would receive again")
        lab.platform_up = True
        b.deaf = False
    await asyncio.sleep(8)
    lab.record("counts: %s" % counts)
    for w in writers:
        w.cancel()


run_case(os.path.dirname(os.path.abspath(__file__)), play)
