"""A server in trouble goes on writing header lines behind the last chunk of an answer.

Two machines; the platform kills a process that exceeds `memory-mb` and starts it again.
"""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))
import harness
import platform_standin as ps

TROUBLE_S = 95.0
WINDOW_S = 6.0
PAUSE_S = 1.5
"""The server is in trouble for a window at a time, within the length of `garble`."""

LINK_BYTES_S = 12_500_000
"""A tenth of a machine's link of 1,000 Mbit/s."""

MEMORY_MB = 300
ENDS = 3
ONE_IN = 20


class Counter(ps.Server):
    """A plain server; while it is in trouble, one in twenty answers has no end."""

    in_trouble = False
    answers = 0

    async def run(self, target, headers, body, reader, writer):
        if not self.in_trouble:
            return await super().run(target, headers, body, reader, writer)
        self.answers += 1
        if self.answers % ONE_IN:
            return await super().run(target, headers, body, reader, writer)
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{n}: {v}" for n, v in self.signed(headers)]
        writer.write("\r\n".join([*lines, "", "2", "ok", "0", ""]).encode())
        began, sent, number = time.monotonic(), 0, 0
        try:
            while True:
                block = b"".join(b"x%d: 1\r\n" % i for i in range(number, number + 5_000))
                number += 5_000
                writer.write(block)
                await writer.drain()
                sent += len(block)
                ahead = sent / LINK_BYTES_S - (time.monotonic() - began)
                await ps.asyncio.sleep(max(0.0, ahead))
        finally:
            self.platform.log({
                "at": "server", "server": self.name, "sent_mb": round(sent / 1e6, 1),
                "channel_closed_after_s": round(time.monotonic() - began, 1),
            })


def servers(platform):
    return [Counter(platform, f"i-count-{n}", "counter", "a", False) for n in (1, 2, 3)]


class Machine(threading.Thread):
    """Keeps one edge process running within its memory, as the platform does."""

    def __init__(self, record, edge):
        super().__init__(daemon=True)
        self.record, self.edge = record, edge
        self.ends = 0
        self.largest_mb = 0.0
        self.is_done = threading.Event()

    def run(self):
        while not self.is_done.wait(0.1):
            found_mb = self.edge.rss_mb()
            self.largest_mb = max(self.largest_mb, found_mb)
            if found_mb <= MEMORY_MB and self.edge.process.poll() is None:
                continue
            self.edge.process.kill()
            self.edge.process.wait()
            self.ends += 1
            self.record({"at": "platform", "killed": self.edge.name, "rss_mb": round(found_mb, 1)})
            if not self.is_done.wait(0.5):
                self.edge.start()


def case(record, host, cleanup):
    platform = harness.PlatformThread(record, host, servers)
    platform.start()
    if not platform.ready.wait(10):
        raise harness.CannotRun("no platform")
    edges, callers = [], []
    for number in (1, 2):
        edge_host = host.rsplit(".", 1)[0] + f".{250 + number}"
        edge = harness.Edge(
            record, edge_host, platform.store_port, MEMORY_MB, f"edge-a-{number}",
            store_host=host,
        )
        cleanup.append(edge.stop)
        edges.append(edge)
    for edge in edges:
        edge.wait_ready()
        callers.append(harness.Callers(record, edge.frontend))
    machines = [Machine(record, edge) for edge in edges]
    for each in [*callers, *machines]:
        each.start()
    time.sleep(4.0)
    if any(machine.ends for machine in machines):
        raise harness.CannotRun("a process ended in calm")
    began = time.monotonic()
    while time.monotonic() - began < TROUBLE_S and any(each.ends < ENDS for each in machines):
        phase_s = (time.monotonic() - began) % (WINDOW_S + PAUSE_S)
        in_trouble = harness.TROUBLE and phase_s < WINDOW_S
        if in_trouble != platform.servers[0].in_trouble:
            platform.servers[0].in_trouble = in_trouble
            record({"at": "server", "server": "i-count-1", "in_trouble": in_trouble})
        time.sleep(0.1)
    for machine in machines:
        machine.is_done.set()
        machine.join()
    for each, machine in zip(callers, machines):
        each.stop()
        record({"at": "script", "machine": machine.edge.name, "ended": machine.ends,
                "largest_rss_mb": round(machine.largest_mb, 1), **each.summary()})
    return all(machine.ends >= ENDS for machine in machines)


harness.main(HERE, case)
