"""Stand-ins that run in the calling process."""

import asyncio
import socket

import aiohttp
import pytest
from aiohttp import web

from hickoryweir.testing import running


def test_no_other_socket_takes_the_port_of_a_crashed_server_before_its_restart():
    async def main():
        server = await running.start(web.Application())
        await server.crash()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((running.HOST, server.port))
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(running.HOST, server.port)
        await server.restart()
        async with aiohttp.ClientSession() as session, session.get(server.url) as found:
            assert found.status == 404
        await server.stop()

    asyncio.run(main())
