"""TCP relay between the processes of a site. It can swallow the bytes of a link in one or both directions, delays them
by a fixed time and counts them.

Usage: relay.py NAME=LISTEN_PORT:TARGET_PORT... Commands on the standard input, one a line, each answered by a line:
  block PREFIX up|down|both|none   swallow the bytes of the links whose name starts with PREFIX; up is towards the target
  delay PREFIX MS                  one-way delay
  count                            JSON object of the bytes of each link in both directions
"""

import asyncio
import json
import os
import sys


class Link:
    def __init__(self, name, target):
        self.name, self.target = name, target
        self.blocked, self.delay, self.count = "none", 0.0, 0
        # asyncio refers to its tasks weakly; a swallowed close leaves one waiting.
        self.tasks = set()

    async def accept(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            up = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, up[1], "up"), self.copy(up[0], writer, "down"))
        self.tasks.discard(asyncio.current_task())

    async def copy(self, reader, writer, direction):
        loop = asyncio.get_running_loop()
        # Bytes that were swallowed leave a gap, so nothing later of this connection may pass either.
        isBroken = False
        try:
            while data := await reader.read(65536):
                isBroken = isBroken or self.blocked in (direction, "both")
                if isBroken:
                    continue
                self.count += len(data)
                if self.delay:
                    loop.call_later(self.delay, writer.write, data)
                else:
                    writer.write(data)
        except OSError:
            pass
        if not isBroken:
            loop.call_later(self.delay, writer.close)


async def main():
    links = []
    for text in sys.argv[1:]:
        name, ports = text.split("=")
        listen, target = map(int, ports.split(":"))
        links.append(Link(name, target))
        await asyncio.start_server(links[-1].accept, "127.0.0.1", listen)
    print("ready", flush=True)
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while line := (await commands.readline()).decode().split():
        chosen = [it for it in links if len(line) > 1 and it.name.startswith(line[1])]
        for it in chosen:
            if line[0] == "block":
                it.blocked = line[2]
            else:
                it.delay = float(line[2]) / 1000
        print(json.dumps({it.name: it.count for it in links}) if line[0] == "count" else "done", flush=True)
    # Copies that are still waiting would each be reported as an error.
    os._exit(0)


asyncio.run(main())
