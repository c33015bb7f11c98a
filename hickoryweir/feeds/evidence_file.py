"""A replica's file of crash evidence, so that it outlives the loss of all processes.

It holds the evidence on parts of prompts, and the requests that were lost repeatedly.

Evidence merges in any order, so each replica keeps a file of its own and needs no
agreement.  Ages in the file are those at the time of writing; a longer retention is
harmless.
"""

import asyncio
import concurrent.futures
import os

from hickoryweir import clocks
from hickoryweir.feeds import evidence, losses, messages, publisher
from hickoryweir.observability import logs
from hickoryweir.replicas import files as file_operations
from hickoryweir.replicas import frames, records, storage
from hickoryweir.streams import codec

FILE_NAME = "crash-evidence"
# A disk that is full or hangs usually stays so for seconds.
RETRY_INTERVAL_S = 1.0
MAX_LOGGED_LENGTH = 200

Content = messages.CrashEvidence | messages.RequestsLost


class EvidenceFile:
    """Loads a publisher's evidence, and saves it after each change.

    Parameters
    ----------
    files : file_operations.Files
        File operations.
    folder : str
        Data folder of the replica.
    feed : publisher.Publisher
        Holds the evidence.
    """

    def __init__(
        self,
        files: file_operations.Files,
        folder: str,
        feed: publisher.Publisher,
    ) -> None:
        self._files = files
        self._folder = folder
        self._feed = feed
        self._changed = asyncio.Event()
        feed.on_evidence = self._changed.set
        self._executor = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix="crash-evidence"
        )

    async def run(self) -> None:
        """Load the file, then save each change, until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            found = await loop.run_in_executor(
                self._executor, load, self._files, self._folder
            )
            self._restore(found)
            while True:
                await self._changed.wait()
                self._changed.clear()
                await self._save()
        finally:
            self._executor.shutdown(wait=False, cancel_futures=True)

    def _restore(self, found: list[Content]) -> None:
        try:
            self._feed.restore(found)
        except Exception as error:
            # Without it the replica ends at each start, as long as the file is there.
            reason = repr(error)[:MAX_LOGGED_LENGTH]
            logs.error("crash evidence not restored", logs.Fields(reason=reason))

    async def _save(self) -> None:
        try:
            state, now_s = self._feed.suspect_parts, clocks.boottime_s()
            content = evidence.make_messages(state, evidence.shared_keys(state), now_s)
            content += losses.make_messages(
                self._feed.crashes, now_s, losses.MIN_SAVED_LOSSES_COUNT
            )
            await asyncio.get_running_loop().run_in_executor(
                self._executor, save, self._files, self._folder, content
            )
        except Exception as error:
            # Not only the disk may fail: the content comes from other processes.
            reason = repr(error)[:MAX_LOGGED_LENGTH]
            logs.warning("crash evidence not saved", logs.Fields(reason=reason))
            self._changed.set()
            await asyncio.sleep(RETRY_INTERVAL_S)


def save(
    files: file_operations.Files,
    folder: str,
    content: list[Content],
) -> None:
    """Replace the file.

    Raises
    ------
    OSError
        It can't be written.
    """
    files.make_folder(folder)
    bodies = [codec.encode(message) for message in content]
    storage.write_atomically(files, folder, FILE_NAME, bodies)


def load(files: file_operations.Files, folder: str) -> list[Content]:
    """Return the content of the file, up to its first damaged frame."""
    try:
        data = files.read(os.path.join(folder, FILE_NAME))
    except FileNotFoundError:
        return []
    except OSError as error:
        logs.warning("crash evidence not read", logs.Fields(reason=str(error)))
        return []
    found, offset = [], 0
    while frame := frames.read_frame(data, offset, records.FIXED_SALT):
        message = codec.decode(frame.body).value_or(None)
        if isinstance(message, Content):
            found.append(message)
        offset = frame.end_offset
    if offset < len(data):
        detail = f"{len(data) - offset} bytes after offset {offset}"
        logs.warning("crash evidence damaged", logs.Fields(detail=detail))
    return found
