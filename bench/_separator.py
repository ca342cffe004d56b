"""Two-level separator after Shi et al. (CCS '21), for comparison only.

A cuckoo filter holds the withdrawn keys; a one-bit Othello structure tells
them from valid keys that are false positives of the filter.
"""

from collections import defaultdict
from collections.abc import Iterable

_SLOTS = 4
_LOAD_FACTOR = 0.9
_MAX_KICKS = 500
_TABLE_BITS_PER_KEY = 1.34
_WORD_BYTES = 8


def _read(digest: bytes, word: int) -> int:
    start = word * _WORD_BYTES
    return int.from_bytes(digest[start : start + _WORD_BYTES], 'little')


class CuckooFilter:
    """Store one-byte fingerprints in buckets of four slots."""

    def __init__(self, capacity: int) -> None:
        buckets = max(2, int(capacity / _SLOTS / _LOAD_FACTOR))
        self._mask = (1 << buckets.bit_length()) - 1
        self.table = bytearray((self._mask + 1) * _SLOTS)

    def locate(self, digest: bytes) -> tuple[int, int, int]:
        """Return the fingerprint and its two buckets."""
        word = _read(digest, 0)
        fingerprint = (word & 0xFF) or 1
        first = (word >> 8) & self._mask
        return fingerprint, first, self._get_alternate(first, fingerprint)

    def may_contain(self, digest: bytes) -> bool:
        """Check whether the key may be in the filter."""
        fingerprint, first, second = self.locate(digest)
        return self._bucket_contains(
            first, fingerprint
        ) or self._bucket_contains(second, fingerprint)

    def insert(self, digest: bytes) -> None:
        """Insert a key."""
        fingerprint, bucket, second = self.locate(digest)
        for kick in range(_MAX_KICKS):
            for choice in (bucket, second):
                free_slot = self.table.find(0, choice * 4, choice * 4 + 4)
                if free_slot >= 0:
                    self.table[free_slot] = fingerprint
                    return
            slot = bucket * _SLOTS + kick % _SLOTS
            evicted = self.table[slot]
            self.table[slot] = fingerprint
            fingerprint = evicted
            bucket = self._get_alternate(bucket, fingerprint)
            second = bucket
        raise OverflowError('no free slot in the cuckoo filter')

    def _get_alternate(self, bucket: int, fingerprint: int) -> int:
        return bucket ^ ((fingerprint * 0x5BD1E995) & self._mask)

    def _bucket_contains(self, bucket: int, fingerprint: int) -> bool:
        start = bucket * _SLOTS
        return self.table.find(fingerprint, start, start + _SLOTS) >= 0


class Othello:
    """Map each key of a known set to one bit."""

    def __init__(self, bits: dict[bytes, int]) -> None:
        self._size = int(len(bits) * _TABLE_BITS_PER_KEY) + 8
        seed = 0
        while not self._build(bits, seed):
            seed += 1

    @property
    def memory_bytes(self) -> int:
        """Return the size of the two bit tables."""
        return 2 * self._size // 8

    def get(self, digest: bytes) -> int:
        """Return the bit of a key, or an arbitrary bit of an unknown key."""
        left, right = self._locate(digest)
        return self._bits[left] ^ self._bits[right]

    def add(self, digest: bytes, bit: int) -> int:
        """Add a key and return the number of bits changed, or -1 on a conflict.

        A conflict requires a rebuild with another seed.
        """
        left, right = self._locate(digest)
        wrong = self._bits[left] ^ self._bits[right] != bit
        component = self._collect_component(right)
        if left in component:
            return -1 if wrong else 0
        self._edges[left].append(right)
        self._edges[right].append(left)
        if not wrong:
            return 0
        for node in component:
            self._bits[node] ^= 1
        return len(component)

    def _build(self, bits: dict[bytes, int], seed: int) -> bool:
        self._seed = seed
        self._bits = bytearray(2 * self._size)
        self._edges: dict[int, list[int]] = defaultdict(list)
        return all(self.add(key, bit) >= 0 for key, bit in bits.items())

    def _locate(self, digest: bytes) -> tuple[int, int]:
        left = hash((_read(digest, 1), self._seed)) % self._size
        right = hash((_read(digest, 2), self._seed)) % self._size
        return left, self._size + right

    def _collect_component(self, start: int) -> set[int]:
        component_nodes = {start}
        pending = [start]
        while pending:
            for node in self._edges.get(pending.pop(), ()):
                if node not in component_nodes:
                    component_nodes.add(node)
                    pending.append(node)
        return component_nodes


class Separator:
    """Tell withdrawn keys from valid ones; results for others are arbitrary."""

    def __init__(self, valid: Iterable[bytes], withdrawn: list[bytes]) -> None:
        self.filter = CuckooFilter(2 * len(withdrawn))
        for digest in withdrawn:
            self.filter.insert(digest)
        bits = dict.fromkeys(filter(self.filter.may_contain, valid), 0)
        bits.update(dict.fromkeys(withdrawn, 1))
        self.othello = Othello(bits)

    @property
    def memory_bytes(self) -> int:
        """Return the memory that an entry would use."""
        return len(self.filter.table) + self.othello.memory_bytes

    def is_withdrawn(self, digest: bytes) -> bool:
        """Check whether a key that is valid or withdrawn is withdrawn."""
        return self.filter.may_contain(digest) and bool(
            self.othello.get(digest)
        )

    def withdraw(self, digest: bytes, valid: Iterable[bytes]) -> int:
        """Withdraw a key and return the size of the update in bytes.

        The update holds the digest, its position in the filter and four bytes
        for each changed Othello bit. Valid keys that become false positives of
        the filter are added to the Othello.
        """
        may_contain = self.filter.may_contain
        unmatched = [one for one in valid if not may_contain(one)]
        self.filter.insert(digest)
        changed = max(0, self.othello.add(digest, 1)) + sum(
            max(0, self.othello.add(one, 0))
            for one in filter(self.filter.may_contain, unmatched)
        )
        return len(digest) + _WORD_BYTES + 1 + 4 * changed
