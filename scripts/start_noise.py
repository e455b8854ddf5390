"""Conditions of scripts/starts in which others send what nobody should."""
import asyncio
import os
import socket

from platform_world import answer
from start_conditions import Condition, condition

HEAD = (b"POST /stream/ HTTP/1.1\r\nHost: shop.example\r\n"
        b"X-Fireflysail-Attempt-Id: 00ff\r\nAuthorization: Bearer key\r\n"
        b"X-Fireflysail-Model: m\r\nX-Fireflysail-Token-Counts: 800,60\r\n")
NOISE = [
    b"", b"\r\n\r\n", b"\0" * 300, b"GET", b"GET / HTTP/9.9\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
    b"GET / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n-1\r\nx",
    HEAD + b"Content-Length: 10\r\n\r\nhalf",
    HEAD + b"X-Fireflysail-Deadline-Ms: 99999999999999999999\r\n\r\n",
    HEAD + b"X-Fireflysail-Deadline-Ms: -1\r\nLast-Event-Id: x\r\n\r\n",
    HEAD + b"X-Fireflysail-Prompt-Prefix: zz:1,:,5:-3,ffffffffffffffffff:9"
           b"\r\nX-Fireflysail-Length-Hint: nan\r\n\r\n",
    HEAD + b"X-Long: " + b"x" * 20000 + b"\r\n\r\n",
    HEAD + b"\r\n" + HEAD + b"\r\n" + HEAD + b"\r\n",
    HEAD + b"Connection: upgrade\r\nExpect: 100-continue\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"\x16\x03\x01\x02\x00\x01\x00",
]


@condition
class RudeCallers(Condition):
    name = "rude_callers"
    what = "bytes that are no requests, halves of requests and resets at all " \
           "ports, in the start and while it stops"

    async def before(self, run):
        self.senders = [asyncio.ensure_future(self.send(run, instance))
                        for instance in run.instances for _ in range(3)]

    async def after(self, run):
        for sender in self.senders:
            sender.cancel()

    async def send(self, run, instance):
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with datagrams:
            while True:
                await asyncio.sleep(run.random.uniform(0, 0.03))
                port = run.random.choice(run.ports + [9464, run.ports[0]])
                noise = run.random.choice(
                    NOISE + [os.urandom(run.random.randrange(2000))])
                try:
                    datagrams.sendto(noise[:1400],
                                     (instance.host, run.ports[3]))
                    await self.send_once(run, instance.host, port, noise)
                except (OSError, asyncio.TimeoutError):
                    pass

    @staticmethod
    async def send_once(run, host, port, noise):
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(noise)
                if run.random.random() < 0.3:
                    await reader.read(100)
                if run.random.random() < 0.5:
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER,
                        b"\1\0\0\0\0\0\0\0")
            finally:
                writer.close()


@condition
class LargeBodies(Condition):
    name = "large_bodies"
    what = "150 callers of one instance each send most of a body of 4 MB"

    async def serve(self, run):
        instance = run.instances[0]
        body = b"x" * 3900000
        writers = [await run.open_idle(instance) for _ in range(150)]
        for writer in filter(None, writers):
            writer.write(HEAD + b"Content-Length: 4000000\r\n\r\n" + body)
        await asyncio.sleep(3)
        for writer in filter(None, writers):
            writer.close()


@condition
class RudeEngines(Condition):
    name = "rude_engines"
    what = "a third of the answers of engines and of the plain service are " \
           "garbled, cut off or reset"

    async def before(self, run):
        for server in run.world.servers.values():
            server.gate = self.gate
        self.random = run.random

    async def gate(self, writer, request):
        if self.random.random() > 0.33:
            return True
        attempt = request[2].get("x-fireflysail-attempt-id", "")
        head = ("HTTP/1.1 200 X\r\nX-Fireflysail-Server-Stamp: s\r\n"
                f"X-Fireflysail-Attempt-Id: {attempt}\r\n").encode()
        chunked = (head + b"Content-Type: text/event-stream\r\n"
                   b"Transfer-Encoding: chunked\r\n\r\n")
        body = self.random.choice([
            b'{"Sequence":-1,"Layers":[{"From":1e99,"Target":null}]}',
            b'{"Sequence":"x","born":{},"Layers":7,"Busy":[]}', b"[]", b"null",
            b"[" * 3000, b"\xff\xfe", b'{"Stalled":[{"Id":1}]}'])
        noise = self.random.choice([
            b"", head, head + b"Content-Length: 5\r\n\r\nx",
            head + b"Content-Length: -5\r\n\r\n",
            head + b"Content-Length: 2\r\n\r\nxxHTTP/1.1 200 X\r\n\r\n",
            head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body),
            chunked + b"ffffffffffffffff0\r\n", chunked + b"zz\r\n",
            chunked + b"8\r\nid: 1\nda\r\n0\r\n\r\n",
            chunked + b"a\r\nid: 99999999999999999999999\n\n\r\n",
            b"HTTP/1.1 999999 X\r\n\r\n", b"\0" * 100,
            head + b"X: " + b"y" * 100000 + b"\r\n\r\n",
            head + b"X-Fireflysail-Server-Load: -1,9999999999999999999999,x"
                   b"\r\nKeep-Alive: timeout=-3\r\nContent-Length: 0\r\n\r\n",
            head.replace(b"200", b"503") + b"Retry-After: 1e400\r\n"
            b"At-Server: 10.0.0.1:99999999\r\nContent-Length: 0\r\n\r\n"])
        writer.write(noise)
        await writer.drain()
        if self.random.random() < 0.5:
            writer.transport.abort()
        return False


@condition
class StoreForgets(Condition):
    name = "store_forgets"
    what = "a part of the store's calls get 410, 409, 503, 429, no answer or " \
           "objects of other shapes, all the time"

    async def before(self, run):
        self.store = run.world.store
        self.store.gate = self.gate
        self.random = run.random

    async def gate(self, writer, request):
        draw = self.random.random()
        if draw > 0.15:
            return True
        if draw < 0.03:
            writer.transport.abort()
            return False
        status = self.random.choice([410, 409, 503, 429, 404, 200, 200])
        # Also as from something before the store, which knows no era.
        say = self.random.choice((self.store.answer, answer))
        say(writer, status, self.random.choice([
            b"", b"{}", b"null", b'{"Items":null,"AsOf":-1}',
            b'{"Items":[{"Metadata":null}],"AsOf":"x","HasMore":1}',
            b'{"events":[{"Object":null,"Deleted":true}],"AsOf":1e300}',
            b'{"events":{},"AsOf":3}', b'{"Metadata":{"Revision":"a"}}']))
        await writer.drain()
        return None


@condition
class SettingsVary(Condition):
    name = "settings_vary"
    what = "optional settings are missing, empty, fractions or of other " \
           "types; unknown ones are there"

    NEEDED = ("Node", "Zone", "Region", "Front", "Ready", "Control",
              "Address", "[")

    def write_settings(self, run, instance, path):
        lines = []
        for line in run.settings_text(instance).splitlines():
            optional = not line.startswith(self.NEEDED)
            name, _, value = line.partition(" = ")
            if optional and run.random.random() < 0.2:
                continue
            if optional and value.isdigit() and run.random.random() < 0.2:
                line = f"{name} = {value}.0"
            if optional and value.startswith("[") and \
                    run.random.random() < 0.2:
                line = f"{name} = []"
            if name == "Seeds" and run.random.random() < 0.2:
                line = 'Seeds = ["", "seed.example:80", 7]'
            lines.append(line)
        lines += ["[Unknown]", "A = [1, 2]", "[Unknown.Deep]", 'B = "é"']
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines))
