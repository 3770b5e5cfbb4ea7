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
    try:
        return _inode_by_netlink(address, peer)
    except OSError:
        return _inode_by_table(address, peer)


def _inode_by_netlink(address, peer):
    ends = (
        struct.pack(">HH", address[1], peer[1])
        + socket.inet_aton(address[0])
        + bytes(12)
        + socket.inet_aton(peer[0])
        + bytes(12)
        + struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    )
    body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF) + ends
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _SOCK_DIAG) as link:
        link.settimeout(1.0)
        link.send(_HEAD.pack(_HEAD.size + len(body), _SOCK_DIAG_BY_FAMILY, 1, 1, 0) + body)
        answer = link.recv(8192)
    if _HEAD.unpack_from(answer)[1] != _SOCK_DIAG_BY_FAMILY:
        raise OSError("no such socket, or no answer about it")
    return struct.unpack_from("=I", answer, _INODE_OFFSET)[0]


def _inode_by_table(address, peer):
    """Search the kernel's table, which takes longer the more connections there are."""
    ends = [
        f"{struct.unpack('=I', socket.inet_aton(end[0]))[0]:08X}:{end[1]:04X}"
        for end in (address, peer)
    ]
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            parts = line.split()
            if parts[1:3] == ends:
                return int(parts[9])
    return None


def check():
    """Check that the opener of a connection can be found here.

    Raises:
        RuntimeError: It can't.
    """
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        with socket.create_connection(listener.getsockname()) as opened:
            if not _has_descriptor(os.getpid(), _inode(opened.getsockname(), opened.getpeername())):
                raise RuntimeError("the opener of a connection can't be found")


def opened_by(pid, writer):
    """Return whether the peer of a loopback connection is a socket of the process ``pid``."""
    try:
        peer, own = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        return _has_descriptor(pid, _inode(peer[:2], own[:2]))
    except (OSError, TypeError):
        return False


def _has_descriptor(pid, inode):
    target = f"socket:[{inode}]"
    for name in os.listdir(f"/proc/{pid}/fd"):
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
