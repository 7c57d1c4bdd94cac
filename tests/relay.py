"""TCP relay between the processes of a site. It discards the bytes of a link in one or both directions, delays them
by a fixed time and counts them.

Usage: relay.py NAME=LISTEN_PORT:TARGET_PORT... Commands on the standard input, one per line, each answered by one line:
  block PREFIX up|down|both|none   discard the bytes of the links whose name starts with PREFIX; up is towards the target
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
        # asyncio holds only weak references to tasks, and a task whose close was discarded keeps waiting.
        self.tasks = set()

    async def accept(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            up = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.forward(reader, up[1], "up"), self.forward(up[0], writer, "down"))
        self.tasks.discard(asyncio.current_task())

    async def forward(self, reader, writer, direction):
        loop = asyncio.get_running_loop()
        # Discarded bytes leave a gap in the stream, so everything after them on this connection is discarded as well.
        isDiscarding = False
        try:
            while data := await reader.read(65536):
                isDiscarding = isDiscarding or self.blocked in (direction, "both")
                if isDiscarding:
                    continue
                self.count += len(data)
                if self.delay:
                    loop.call_later(self.delay, writer.write, data)
                else:
                    writer.write(data)
        except OSError:
            pass
        if not isDiscarding:
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
        matching = [it for it in links if len(line) > 1 and it.name.startswith(line[1])]
        for it in matching:
            if line[0] == "block":
                it.blocked = line[2]
            else:
                it.delay = float(line[2]) / 1000
        print(json.dumps({it.name: it.count for it in links}) if line[0] == "count" else "done", flush=True)
    # asyncio would report each task that is still waiting as an error.
    os._exit(0)


asyncio.run(main())
