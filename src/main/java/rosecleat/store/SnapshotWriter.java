package rosecleat.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import rosecleat.store.wire.SnapshotEnd;

/** Writes the state of a state machine as a snapshot file. */
final class SnapshotWriter {
  private static final int CHUNK_BYTES = 1 << 20;
  private static final int RECORD_VERSION = 1;

  private final long number;
  private final Directory.Output output;
  private ByteBuffer chunk = ByteBuffer.allocate(CHUNK_BYTES);
  private long writtenBytes;
  private long records;
  private IOException failure; // thrown by finish(), because a Consumer cannot throw it

  private SnapshotWriter(long number, Directory.Output output) {
    this.number = number;
    this.output = output;
  }

  /** Writes a snapshot and returns its size (bytes); the snapshot is durable when this returns. */
  static long write(Directory directory, long number, StateMachine state) throws IOException {
    String name = FileNames.snapshot(number);
    String temporaryName = name + FileNames.TEMPORARY_SUFFIX;
    SnapshotWriter writer = new SnapshotWriter(number, directory.createOutput(temporaryName));
    try {
      writer.writeBytes(FileHeader.ofSnapshot(number).encode());
      state.writeSnapshot(writer::add);
      writer.finish();
    } finally {
      Outputs.closeQuietly(writer.output);
    }
    directory.rename(temporaryName, name);
    directory.sync();
    return writer.writtenBytes;
  }

  private void add(StoredRecord record) {
    encode(record);
    records++;
  }

  private void encode(StoredRecord record) {
    if (failure != null) {
      return;
    }
    try {
      int length = RecordFormat.encodedLength(record);
      if (chunk.remaining() < length) {
        flush();
        if (chunk.capacity() < length) {
          chunk = ByteBuffer.allocate(length);
        }
      }
      RecordFormat.encode(chunk, record, number, writtenBytes + chunk.position(), 0);
    } catch (IOException e) {
      failure = e;
    }
  }

  private void flush() throws IOException {
    writeBytes(chunk.flip());
    chunk.clear();
  }

  private void writeBytes(ByteBuffer bytes) throws IOException {
    int length = bytes.remaining();
    output.write(bytes);
    writtenBytes += length;
  }

  private void finish() throws IOException {
    SnapshotEnd end = SnapshotEnd.newBuilder().setEntries(records).build();
    encode(new StoredRecord(RecordFormat.TYPE_SNAPSHOT_END, RECORD_VERSION, end.toByteArray()));
    if (failure != null) {
      throw failure;
    }
    flush();
    output.sync();
  }
}
