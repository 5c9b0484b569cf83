"""Heads of answers that are no HTTP, and others that look odd and are sound."""

import string

# Status lines whose status is none.
STATUS_LINES = tuple("HTTP/1.1 " + status for status in ("000", "000 Broken", "001 OK", "099 OK", "0 OK", "20 OK", "2000 OK", "+20 OK", "-20 OK", "2x0 OK"))
# Lines in place of a header; a head has a sound one before and after them.
NAMES = ("Bad Name", "Bad\tName", "Bad\x01Name", "Bad\x7fName", "Bad\x00Name", "Bad\rName", "Bad\nName", "Name ", "Name\t", "\x0bName", "Name\x1f")
FIELD_LINES = tuple(name + value for name in NAMES for value in (": x", ":")) + (": x", "no colon")
# Lines that begin with a blank or a tab, as if they went on with the line before.
FOLDED_LINES = (" Name: x", "\tName: x", " Name:", " x", "\tx", " ", "\t")
# Ways in which the end of a body is told: the header, and the body `text` so framed.
FRAMINGS = {
    "length": lambda text: (f"Content-Length: {len(text)}", text),
    "chunks": lambda text: ("Transfer-Encoding: chunked", b"%x\r\n%s\r\n0\r\n\r\n" % (len(text), text)),
    "no length": lambda text: ("Connection: close", text),
}
SOUND_STATUS_LINES = ("HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK")
SOUND_FIELD_LINES = ("!#$%&'*+-.^_`|~" + string.digits + string.ascii_letters + ": x", "Name:x", "Name: ", "Name:", "Name: a b\tc", "Name: \x80\xff", "Name:  x \t", "Name: a%0d%0ab")
