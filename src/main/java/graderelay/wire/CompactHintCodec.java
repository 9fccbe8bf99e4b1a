package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.airlift.compress.MalformedInputException;
import io.airlift.compress.zstd.ZstdCompressor;
import io.airlift.compress.zstd.ZstdDecompressor;
import java.util.Arrays;
import java.util.Base64;

/**
 * Encodes hints for the next leader as Zstandard-compressed CBOR in base 64. Machine names and
 * times are highly repetitive, so the compact form is much smaller than the plain one.
 */
public final class CompactHintCodec {
  /** Maximum decompressed size in bytes; a record that states a larger size is malformed. */
  private static final int MAX_DECOMPRESSED_BYTES = 1024 * 1024;

  private static final String COMPRESSED = "z";

  private CompactHintCodec() {}

  /** Encodes a plain record in the compact form. */
  public static ObjectNode encode(JsonNode plain) {
    byte[] cbor = Json.writeCbor(plain);
    ZstdCompressor compressor = new ZstdCompressor();
    byte[] compressed = new byte[compressor.maxCompressedLength(cbor.length)];
    int length = compressor.compress(cbor, 0, cbor.length, compressed, 0, compressed.length);
    String base64 = Base64.getEncoder().encodeToString(Arrays.copyOf(compressed, length));
    return Json.object().put(COMPRESSED, base64);
  }

  /** Decodes a plain record from its compact form. */
  public static JsonNode decode(JsonNode compact) throws MalformedRecordException {
    byte[] compressed = decodeBase64(compact.path(COMPRESSED));
    byte[] cbor = decompress(compressed);
    JsonNode plain = Json.readCbor(cbor);
    if (plain == null || !plain.isObject()) {
      throw new MalformedRecordException(COMPRESSED, "does not contain a CBOR map");
    }
    return plain;
  }

  private static byte[] decodeBase64(JsonNode base64) throws MalformedRecordException {
    try {
      return Base64.getDecoder().decode(base64.asText());
    } catch (IllegalArgumentException e) {
      throw new MalformedRecordException(COMPRESSED, "is not valid base 64");
    }
  }

  private static byte[] decompress(byte[] compressed) throws MalformedRecordException {
    try {
      long size = ZstdDecompressor.getDecompressedSize(compressed, 0, compressed.length);
      if (size < 0 || size > MAX_DECOMPRESSED_BYTES) {
        throw new MalformedRecordException(
            COMPRESSED, "has an invalid decompressed size of " + size + " bytes");
      }
      byte[] cbor = new byte[(int) size];
      new ZstdDecompressor().decompress(compressed, 0, compressed.length, cbor, 0, cbor.length);
      return cbor;
    } catch (MalformedInputException | IndexOutOfBoundsException | IllegalArgumentException e) {
      throw new MalformedRecordException(COMPRESSED, "cannot be decompressed: " + e.getMessage());
    }
  }
}
