/**
 * A small storage engine: a write-ahead log of opaque records with snapshots, in one directory.
 *
 * <p>{@link rosecleat.store.RecordStore} is the entry point. Its state on disk is a manifest, a
 * current and an older snapshot, and log segments behind them; {@link rosecleat.store.Recovery}
 * verifies checksums and replays these files into a {@link rosecleat.store.StateMachine}, and moves
 * corrupt ones to quarantine instead of deleting them.
 *
 * <p>One thread owns the writing side: the thread {@code store} of {@link
 * rosecleat.store.StoreWriter} alone calls {@link rosecleat.store.StorageEngine}, the log and the
 * list of snapshots. Callers hand it records through {@link rosecleat.store.AppendQueue}. A
 * compaction writes its snapshot on a short-lived thread, and the owner installs it. A lock file
 * keeps other processes from writing.
 *
 * <p>The package depends on the Java library and Protocol Buffers alone, and knows nothing of what
 * it stores.
 */
package rosecleat.store;
