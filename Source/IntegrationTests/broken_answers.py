"""Answers that HTTP does not allow, byte by byte, for the tests of both verbs."""

FRAMINGS = ("length", "chunked", "close")
INVALID_STATUSES = ("000 None", "099 Odd", "101 Switching Protocols", "600 Odd", "999 Odd")
#: Lines whose name of a field is invalid.
INVALID_LINES = {
    "blank": b"X Trace: 1",
    "tab": b"X\tTrace: 1",
    "NUL": b"X\x00Trace: 1",
    "control byte": b"X\x01Trace: 1",
    "vertical tab": b"X\x0bTrace: 1",
    "CR": b"X\rTrace: 1",
    "LF": b"X\nTrace: 1",
    "DEL": b"X\x7fTrace: 1",
    "byte above ASCII": b"X\xe9Trace: 1",
    "blank before the colon": b"X-Trace : 1",
    "length": b"Content-Length : 1",
    "control byte in a length": b"Content\x01-Length: 1",
    "coding": b"Transfer-Encoding : chunked",
    "connection": b"Connection : close",
    "no name": b": 1",
    "no colon": b"X-Trace",
}
PLACES = ("first", "last", "interim", "trailer")


def framed(head, body, framing, trailer=b""):
    """@param head: the status line and fields, without line ends"""
    lines = [b"Connection: close"]
    if framing == "length":
        lines.append(b"Content-Length: %d" % len(body))
    elif framing == "chunked":
        lines.append(b"Transfer-Encoding: chunked")
    if framing == "chunked":
        body = b"%x\r\n%s\r\n0\r\n%s\r\n" % (len(body), body, trailer)
    return b"\r\n".join([*head, *lines, b"", b""]) + body


def with_line(line, place, fields, body, framing):
    """An answer with the line in it; None if answers of the framing have no such place."""
    head = [b"HTTP/1.1 200 OK", *fields]
    if place == "interim":
        return b"HTTP/1.1 103 Early Hints\r\n" + line + b"\r\n\r\n" + framed(head, body, framing)
    if place == "trailer":
        return framed(head, body, framing, line + b"\r\n") if framing == "chunked" else None
    if place == "first":
        return framed([head[0], line, *head[1:]], body, framing)
    return framed(head, body, framing).replace(b"\r\n\r\n", b"\r\n" + line + b"\r\n\r\n", 1)
