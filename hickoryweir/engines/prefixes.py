"""Prefix digests, by which routers and engines identify cached prompt prefixes.

A prompt's text is split into blocks of :data:`BLOCK_SIZE_CHARACTERS`; the digest
of a prefix of complete blocks chains the digest of the previous prefix with the
next block, so that equal prefixes have equal digests in every process.

Examples
--------
>>> shared = "x" * BLOCK_SIZE_CHARACTERS
>>> first = digest_text(shared + "a" * BLOCK_SIZE_CHARACTERS)
>>> second = digest_text(shared + "b" * BLOCK_SIZE_CHARACTERS)
>>> first[0] == second[0], first[1] == second[1]
(True, False)
"""

import json
from collections.abc import Mapping

import xxhash

BLOCK_SIZE_CHARACTERS = 256
MAX_BLOCKS_COUNT = 64


def digest_text(text: str) -> tuple[int, ...]:
    """Return the digests of all prefixes of complete blocks, shortest first.

    Parameters
    ----------
    text : str
        The prompt's text.

    Returns
    -------
    tuple of int
        At most :data:`MAX_BLOCKS_COUNT` digests of 64 bits.
    """
    digests = []
    previous = 0
    whole_blocks = min(len(text) // BLOCK_SIZE_CHARACTERS, MAX_BLOCKS_COUNT)
    for block in range(whole_blocks):
        start = block * BLOCK_SIZE_CHARACTERS
        block_text = text[start : start + BLOCK_SIZE_CHARACTERS]
        encoded = block_text.encode(errors="surrogatepass")
        previous = xxhash.xxh64_intdigest(encoded, seed=previous)
        digests.append(previous)
    return tuple(digests)


def prompt_text(body: Mapping[str, object]) -> str:
    """Return the text whose prefixes are digested.

    Parameters
    ----------
    body : mapping
        Decoded request body of a chat completion or a completion.

    Returns
    -------
    str
        The model, then each message as JSON, or the prompt.
    """
    model = str(body.get("model", ""))
    messages = body.get("messages")
    if isinstance(messages, list):
        parts = [json.dumps(message, sort_keys=True) for message in messages]
        return "\n".join([model, *parts])
    prompt = body.get("prompt", "")
    text = prompt if isinstance(prompt, str) else json.dumps(prompt)
    return f"{model}\n{text}"
