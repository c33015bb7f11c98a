"""Answer texts of stand-in engines, which tests can check for completeness.

An answer starts with the request ID, numbers its tokens and ends with an end
token, so an answer to another request, a truncated answer and repeated tokens are
detected.

Examples
--------
>>> answer_text("r1", 4)
'[r1] 1 2 end'
>>> is_complete_answer("r1", "[r1] 1 2 end")
True
>>> is_complete_answer("r1", "[r1] 1 1 2 end")
False
"""

END_TOKEN = " end"


def token_text(request_id: str, index: int, output_tokens: int) -> str:
    """Return the text of one token of an answer."""
    if index == 0:
        return f"[{request_id}]"
    if index == output_tokens - 1:
        return END_TOKEN
    return f" {index}"


def answer_text(request_id: str, output_tokens: int) -> str:
    """Return the complete text of an answer of ``output_tokens`` tokens."""
    return "".join(
        token_text(request_id, index, output_tokens) for index in range(output_tokens)
    )


def is_complete_answer(request_id: str, text: str) -> bool:
    """Return whether a text is the complete answer to the given request."""
    return text == answer_text(request_id, len(text.split(" ")))
