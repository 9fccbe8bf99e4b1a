package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.airlift.compress.MalformedInputException;
import io.airlift.compress.zstd.ZstdCompressor;
import io.airlift.compress.zstd.ZstdDecompressor;
import java.util.Arrays;
import java.util.Base64;

/**
 * Hints for the next leader as compressed CBOR. Names of machines and times repeat almost to the
 * letter, so that a record takes a small part of its plain form.
 */
public final class CompactHintCodec {
  /** Bytes of a compact hint once it is decompressed; more is a mistake. */
  private static final int MAX_DECOMPRESSED_BYTES = 1024 * 1024;

  private static final String COMPRESSED = "z";

  private CompactHintCodec() {}

  /** The compact form of a plain record. */
  public static ObjectNode encode(JsonNode plain) {
    byte[] cbor = Json.writeCbor(plain);
    ZstdCompressor compressor = new ZstdCompressor();
    byte[] compressed = new byte[compressor.maxCompressedLength(cbor.length)];
    int length = compressor.compress(cbor, 0, cbor.length, compressed, 0, compressed.length);
    String text = Base64.getEncoder().encodeToString(Arrays.copyOf(compressed, length));
    return Json.object().put(COMPRESSED, text);
  }

  /** The plain record of a compact form. */
  public static JsonNode decode(JsonNode compact) throws MalformedRecordException {
    byte[] compressed = decodeBase64(compact.path(COMPRESSED));
    byte[] cbor = decompress(compressed);
    JsonNode plain = Json.readCbor(cbor);
    if (plain == null || !plain.isObject()) {
      throw new MalformedRecordException(COMPRESSED, "does not hold a record");
    }
    return plain;
  }

  private static byte[] decodeBase64(JsonNode text) throws MalformedRecordException {
    try {
      return Base64.getDecoder().decode(text.asText());
    } catch (IllegalArgumentException e) {
      throw new MalformedRecordException(COMPRESSED, "is not in base 64");
    }
  }

  private static byte[] decompress(byte[] compressed) throws MalformedRecordException {
    try {
      long size = ZstdDecompressor.getDecompressedSize(compressed, 0, compressed.length);
      if (size < 0 || size > MAX_DECOMPRESSED_BYTES) {
        throw new MalformedRecordException(COMPRESSED, "would take " + size + " bytes");
      }
      byte[] cbor = new byte[(int) size];
      new ZstdDecompressor().decompress(compressed, 0, compressed.length, cbor, 0, cbor.length);
      return cbor;
    } catch (MalformedInputException | IndexOutOfBoundsException | IllegalArgumentException e) {
      throw new MalformedRecordException(COMPRESSED, "can't be decompressed: " + e.getMessage());
    }
  }
}
