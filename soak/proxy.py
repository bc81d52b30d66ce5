"""A TCP proxy on loopback that delays, silences, cuts or resets the connections that run through it."""

import asyncio
import socket
import struct
import threading

CHUNK_BYTES = 65536


class Proxy:
    """Forwards `listen` to `target`. The mode holds for open and for new connections."""

    MODES = ("pass", "delay", "silence", "cut_requests", "cut_answers")

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.mode, self.delay_s = "pass", 0.0
        self._writers = set()
        self._server = None
        self._loop = asyncio.new_event_loop()
        started = threading.Event()
        self._thread = threading.Thread(target=self._run, args=(started,), daemon=True)
        self._thread.start()
        started.wait()

    def reset(self):
        """Resets all open connections."""
        self._loop.call_soon_threadsafe(self._reset)

    def stop(self):
        asyncio.run_coroutine_threadsafe(self._end(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _end(self):
        self._server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _run(self, started):
        asyncio.set_event_loop(self._loop)
        host, port = self.listen.rsplit(":", 1)
        self._server = self._loop.run_until_complete(asyncio.start_server(self._serve, host, int(port)))
        started.set()
        self._loop.run_forever()

    def _reset(self):
        for writer in list(self._writers):
            connection = writer.get_extra_info("socket")
            if connection:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, to_writer}
        self._writers |= pair
        try:
            await asyncio.gather(self._pump(reader, to_writer, "cut_requests"),
                                 self._pump(to_reader, writer, "cut_answers"))
        except (OSError, asyncio.CancelledError):
            pass  # A reset, or the end of the proxy.
        finally:
            self._writers -= pair
            for one in pair:
                one.close()

    async def _pump(self, reader, writer, cut):
        while data := await reader.read(CHUNK_BYTES):
            # Bytes of a silent connection are lost, as on a link that is cut: it never delivers anything again.
            if self.mode in ("silence", cut):
                continue
            if self.mode == "delay":
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
