"""Answers that HTTP does not allow, byte by byte, for the tests of both verbs."""

FRAMINGS = ("length", "chunked", "close")
INVALID_STATUSES = ("000 None", "099 Odd", "101 Switching Protocols", "600 Odd", "999 Odd")


def framed(head, body, framing):
    """@param head: the status line and fields, without line ends"""
    lines = [b"Connection: close"]
    if framing == "length":
        lines.append(b"Content-Length: %d" % len(body))
    elif framing == "chunked":
        lines.append(b"Transfer-Encoding: chunked")
    if framing == "chunked":
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return b"\r\n".join([*head, *lines, b"", b""]) + body
