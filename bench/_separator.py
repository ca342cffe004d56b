"""Two-level separator after Shi et al. (CCS '21), for comparison only.

A cuckoo filter holds the withdrawn keys; a one-bit Othello tells those that
it holds truly from those that it holds by accident.
"""

from collections import defaultdict
from collections.abc import Iterable

_SLOTS = 4
_LOAD = 0.9
_MAX_KICKS = 500
_OTHELLO_SCALE = 1.34
_WORD_BYTES = 8


def _read(digest: bytes, word: int) -> int:
    start = word * _WORD_BYTES
    return int.from_bytes(digest[start : start + _WORD_BYTES], 'little')


class CuckooFilter:
    """Hold fingerprints of one byte in buckets of four."""

    def __init__(self, capacity: int) -> None:
        buckets = max(2, int(capacity / _SLOTS / _LOAD))
        self._mask = (1 << buckets.bit_length()) - 1
        self.table = bytearray((self._mask + 1) * _SLOTS)

    def locate(self, digest: bytes) -> tuple[int, int, int]:
        """Give the fingerprint and its two buckets."""
        word = _read(digest, 0)
        print_byte = (word & 0xFF) or 1
        first = (word >> 8) & self._mask
        return print_byte, first, self._other(first, print_byte)

    def has(self, digest: bytes) -> bool:
        """Tell whether the key may be held."""
        print_byte, first, second = self.locate(digest)
        return self._find(first, print_byte) or self._find(second, print_byte)

    def insert(self, digest: bytes) -> None:
        """Hold a key."""
        print_byte, bucket, second = self.locate(digest)
        for kick in range(_MAX_KICKS):
            for choice in (bucket, second):
                free = self.table.find(0, choice * 4, choice * 4 + 4)
                if free >= 0:
                    self.table[free] = print_byte
                    return
            place = bucket * _SLOTS + kick % _SLOTS
            evicted = self.table[place]
            self.table[place] = print_byte
            print_byte = evicted
            bucket = self._other(bucket, print_byte)
            second = bucket
        raise OverflowError('The filter is full.')

    def _other(self, bucket: int, print_byte: int) -> int:
        return bucket ^ ((print_byte * 0x5BD1E995) & self._mask)

    def _find(self, bucket: int, print_byte: int) -> bool:
        start = bucket * _SLOTS
        return self.table.find(print_byte, start, start + _SLOTS) >= 0


class Othello:
    """Hold one bit for each key of a known set."""

    def __init__(self, bits: dict[bytes, int]) -> None:
        self._size = int(len(bits) * _OTHELLO_SCALE) + 8
        seed = 0
        while not self._build(bits, seed):
            seed += 1

    @property
    def memory_bytes(self) -> int:
        """Give the size of the two bit tables."""
        return 2 * self._size // 8

    def get(self, digest: bytes) -> int:
        """Give the bit; of a key outside the set, any bit."""
        left, right = self._locate(digest)
        return self._bits[left] ^ self._bits[right]

    def add(self, digest: bytes, bit: int) -> int:
        """Hold a key, and give how many bits changed, or -1 for a rebuild."""
        left, right = self._locate(digest)
        wrong = self._bits[left] ^ self._bits[right] != bit
        tree = self._collect(right)
        if left in tree:
            return -1 if wrong else 0
        self._edges[left].append(right)
        self._edges[right].append(left)
        if not wrong:
            return 0
        for node in tree:
            self._bits[node] ^= 1
        return len(tree)

    def _build(self, bits: dict[bytes, int], seed: int) -> bool:
        self._seed = seed
        self._bits = bytearray(2 * self._size)
        self._edges: dict[int, list[int]] = defaultdict(list)
        return all(self.add(key, bit) >= 0 for key, bit in bits.items())

    def _locate(self, digest: bytes) -> tuple[int, int]:
        left = hash((_read(digest, 1), self._seed)) % self._size
        right = hash((_read(digest, 2), self._seed)) % self._size
        return left, self._size + right

    def _collect(self, start: int) -> set[int]:
        found = {start}
        waiting = [start]
        while waiting:
            for node in self._edges.get(waiting.pop(), ()):
                if node not in found:
                    found.add(node)
                    waiting.append(node)
        return found


class Separator:
    """Tell withdrawn keys from valid ones, and nothing about any other."""

    def __init__(self, valid: Iterable[bytes], withdrawn: list[bytes]) -> None:
        self.filter = CuckooFilter(2 * len(withdrawn))
        for digest in withdrawn:
            self.filter.insert(digest)
        bits = dict.fromkeys(filter(self.filter.has, valid), 0)
        bits.update(dict.fromkeys(withdrawn, 1))
        self.othello = Othello(bits)

    @property
    def memory_bytes(self) -> int:
        """Give what an entry would hold."""
        return len(self.filter.table) + self.othello.memory_bytes

    def is_withdrawn(self, digest: bytes) -> bool:
        """Tell a withdrawn key from a valid one."""
        return self.filter.has(digest) and bool(self.othello.get(digest))

    def withdraw(self, digest: bytes, valid: Iterable[bytes]) -> int:
        """Withdraw a key, and give the bytes of the change.

        The digest and its place in the filter, and four bytes for each bit
        of the Othello; valid keys that the filter now holds by accident are
        added, as the paper's tracker does by its index.
        """
        before = self.filter.has
        free = [one for one in valid if not before(one)]
        self.filter.insert(digest)
        changed = max(0, self.othello.add(digest, 1)) + sum(
            max(0, self.othello.add(one, 0))
            for one in filter(self.filter.has, free)
        )
        return len(digest) + _WORD_BYTES + 1 + 4 * changed
