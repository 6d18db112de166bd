package rosecleat.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import rosecleat.store.wire.Manifest;

/** Reads and atomically replaces the manifest, which names the current snapshot. */
final class ManifestFile {
  private static final int RECORD_VERSION = 1;
  private static final long FILE_NUMBER = 0;

  private ManifestFile() {}

  /** Replaces the manifest; the new manifest is durable when this method returns. */
  static void write(Directory directory, long snapshot, long olderSnapshot) throws IOException {
    Manifest manifest =
        Manifest.newBuilder().setSnapshot(snapshot).setOlderSnapshot(olderSnapshot).build();
    StoredRecord record =
        new StoredRecord(RecordFormat.TYPE_MANIFEST, RECORD_VERSION, manifest.toByteArray());
    ByteBuffer bytes =
        ByteBuffer.allocate(FileHeader.BYTES + RecordFormat.encodedLength(record))
            .put(FileHeader.ofManifest().encode());
    RecordFormat.encode(bytes, record, FILE_NUMBER, FileHeader.BYTES, 0);
    String temporaryName = FileNames.MANIFEST + FileNames.TEMPORARY_SUFFIX;
    Directory.Output output = directory.createOutput(temporaryName);
    try {
      output.write(bytes.flip());
      output.sync();
    } finally {
      Outputs.closeQuietly(output);
    }
    directory.rename(temporaryName, FileNames.MANIFEST);
    directory.sync();
  }

  /**
   * Reads the manifest; returns empty if its header or record is corrupt. Throws {@link
   * com.google.protobuf.InvalidProtocolBufferException} if the checksum matches but the payload is
   * not a manifest.
   */
  static Optional<Manifest> read(FileWindow file) throws IOException, UnsupportedFormatException {
    Optional<FileHeader> header = FileVerifier.readHeader(FileNames.MANIFEST, file);
    if (header.isEmpty() || header.get().fileType() != FileHeader.MANIFEST) {
      return Optional.empty();
    }
    Optional<RecordFormat.Decoded> decoded =
        RecordFormat.decode(file, FILE_NUMBER, FileHeader.BYTES);
    if (decoded.isEmpty() || decoded.get().record().type() != RecordFormat.TYPE_MANIFEST) {
      return Optional.empty();
    }
    return Optional.of(Manifest.parseFrom(decoded.get().record().payload()));
  }
}
