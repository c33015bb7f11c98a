"""Plain responses that are written to the client without a second copy of the body."""

from aiohttp import web

# aiohttp joins a body with its head, which copies it; copying less than this is cheap.
PIECE_SIZE_BYTES = 64 * 1024


class PlainResponse(web.Response):
    """A complete response whose large body is written in slices, without a copy."""

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body, and wait until the transport has room again."""
        body = self.body
        is_large = isinstance(body, bytes) and len(body) > PIECE_SIZE_BYTES
        if self._eof_sent or self._must_be_empty_body or not is_large or self.chunked:
            await super().write_eof(data)
            return
        view = memoryview(body)
        for start in range(0, len(body), PIECE_SIZE_BYTES):
            piece = view[start : start + PIECE_SIZE_BYTES]
            await self._payload_writer.write(piece, drain=False)
        self.body = None
        await super().write_eof(data)
