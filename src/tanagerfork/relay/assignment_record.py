"""Assignment record: the groups of one failure domain, as they are kept in the store."""

import uuid

import msgspec
import result

from tanagerfork import decisions
from tanagerfork.generated import assignments
from tanagerfork.storage import key_value, swap

LOGGER = "relay.assignment_record"
PREFIX = "tanagerfork/assignments/"
FIRST_FENCING = 1
EPOCHS_PER_RESTORE = 1000  # More epochs than are given out in the seconds that a restore loses.
EPOCHS_PER_HOLDER = 100  # More groups than writes without an answer form before the lease ends.


class AssignmentRecord:
    """The record of one failure domain, changed by compare-and-swap only.

    `current` is the record as it was last read or written; None where it has to be read. A record
    that `is_unreadable` may be of another build, whose groups nobody here may touch.

    :param failure_domain: failure domain.
    :param store: store of the record.
    :param log: decision log.
    """

    __slots__ = (
        "_failure_domain",
        "_store",
        "_log",
        "_revision",
        "_next_epoch",
        "current",
        "is_unreadable",
    )

    def __init__(
        self, failure_domain: str, store: key_value.KeyValue, log: decisions.DecisionLog
    ) -> None:
        self._failure_domain = failure_domain
        self._store = store
        self._log = log
        self._revision = key_value.ABSENT
        self._next_epoch = 1
        self.current: assignments.Assignments | None = None
        self.is_unreadable = False

    @property
    def fencing(self) -> int:
        """Fencing number of the coordinator that wrote the record; 0 where it is not known."""
        return self.current.fencing if self.current else 0

    async def read(self, fencing: int) -> bool:
        """Read the record; one that is absent is empty.

        :param fencing: fencing number of this coordinator.
        :return: whether there is a record to plan from.
        """
        found = await self._store.read(PREFIX + self._failure_domain)
        if isinstance(found, result.Err):
            return False
        entry = found.ok_value
        absent = key_value.make_revision(self._store.era, key_value.ABSENT)
        self._revision = entry.revision if entry else absent
        record = assignments.Assignments(
            failure_domain=self._failure_domain, next_epoch=1, groups=[]
        )
        if entry is None:
            # The first coordinator before any restore need not leave out epochs.
            record.era, record.fencing = key_value.FIRST_ERA, FIRST_FENCING
        else:
            try:
                record = swap.decode_record(entry, assignments.Assignments)
            except msgspec.MsgspecError as error:
                self.is_unreadable = True
                self._log.note(
                    LOGGER,
                    "assignments cannot be decoded, delete the key if no other build runs",
                    key=entry.key,
                    reason=str(error),
                )
                return False
        self.is_unreadable = False
        self.current = self._skip_lost_epochs(record, fencing)
        return True

    async def write(self, record: assignments.Assignments, fencing: int) -> bool:
        """Write the record, unless another coordinator has written it since it was read.

        :param record: new record.
        :param fencing: fencing number of this coordinator.
        :return: whether it was written.
        """
        changed = msgspec.structs.replace(record, fencing=fencing, token=uuid.uuid4().hex)
        self._next_epoch = max(self._next_epoch, record.next_epoch)
        key = PREFIX + self._failure_domain
        written = await swap.swap_record(self._store, key, changed, self._revision)
        if isinstance(written, result.Err):
            self._log.note(LOGGER, "assignments not written", reason=written.err_value.message)
            self.forget()
            return False
        self.current, self._revision = changed, written.ok_value
        return True

    def forget(self) -> None:
        """Have the record read again before it is used."""
        self.current = None

    def _skip_lost_epochs(
        self, record: assignments.Assignments, fencing: int
    ) -> assignments.Assignments:
        """Return a record whose next epoch was not given out, even if later records were lost.

        A store that was restored from a copy may have lost records with greater epochs, of which
        this daemon knows only its own. A late write of an earlier coordinator may still take effect
        after a restore.
        """
        era = key_value.read_era(self._revision)
        next_epoch = self._next_epoch = max(record.next_epoch, self._next_epoch)
        next_epoch += max(0, era - record.era) * EPOCHS_PER_RESTORE
        if record.fencing != fencing:
            next_epoch += EPOCHS_PER_HOLDER
        return msgspec.structs.replace(record, next_epoch=next_epoch, era=era)
