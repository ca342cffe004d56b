"""Files that last only once they are synced."""

from sardinemast.storage._log_store import LoadedLog, LogStore, open_log_store
from sardinemast.storage.exceptions import StorageError

__all__ = ('LoadedLog', 'LogStore', 'StorageError', 'open_log_store')
