/**
 * An embedded storage engine: a write-ahead log of opaque records with snapshots, in one directory.
 *
 * <p>{@link rosecleat.store.RecordStore} is the entry point. A store consists of a manifest, a
 * current and an older snapshot, and the log segments that follow them. {@link
 * rosecleat.store.Recovery} verifies the checksums of these files and replays them into a {@link
 * rosecleat.store.StateMachine}. Corrupt files are moved to quarantine instead of being deleted.
 *
 * <p>A single thread writes: only the thread {@code store}, which runs {@link
 * rosecleat.store.StoreWriter}, calls {@link rosecleat.store.StorageEngine}, the log and the list
 * of snapshots. Callers pass records to it through {@link rosecleat.store.AppendQueue}. A
 * compaction writes its snapshot on a short-lived thread, and the writer's thread installs it. A
 * lock file prevents other processes from writing.
 *
 * <p>The package depends only on the Java library and Protocol Buffers and does not interpret the
 * application's records.
 */
package rosecleat.store;
