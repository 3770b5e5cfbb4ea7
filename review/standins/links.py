"""Finds which process opened a connection, so that a stand-in can cut the link of one instance."""

import os
import socket
import struct

_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_HEAD = struct.Struct("=IHHII")
_INODE_OFFSET = _HEAD.size + 4 + 48 + 16


def _inode(address, peer):
    """Return the inode of the established socket with these two ends; None if there is none."""
    ends = (
        struct.pack(">HH", address[1], peer[1])
        + socket.inet_aton(address[0]) + bytes(12)
        + socket.inet_aton(peer[0]) + bytes(12)
        + struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    )
    body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF) + ends
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _SOCK_DIAG) as link:
        link.send(_HEAD.pack(_HEAD.size + len(body), _SOCK_DIAG_BY_FAMILY, 1, 1, 0) + body)
        answer = link.recv(8192)
    if _HEAD.unpack_from(answer)[1] != _SOCK_DIAG_BY_FAMILY:
        return None
    return struct.unpack_from("=I", answer, _INODE_OFFSET)[0]


def opened_by(pid, writer):
    """Return whether the peer of a loopback connection is a socket of the process ``pid``."""
    try:
        peer, own = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        target = f"socket:[{_inode(peer[:2], own[:2])}]"
        names = os.listdir(f"/proc/{pid}/fd")
    except (OSError, TypeError):
        return False
    for name in names:
        try:
            if os.readlink(f"/proc/{pid}/fd/{name}") == target:
                return True
        except OSError:
            continue
    return False


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
