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
public final class CompactHints {
  /** Bytes of a compact hint once it is decompressed; more is a mistake. */
  private static final int MOST_HINT_BYTES = 1024 * 1024;

  private static final String PACKED = "z";

  private CompactHints() {}

  /** The compact form of a plain record. */
  public static ObjectNode pack(JsonNode plain) {
    byte[] cbor = Json.writeCbor(plain);
    ZstdCompressor compressor = new ZstdCompressor();
    byte[] packed = new byte[compressor.maxCompressedLength(cbor.length)];
    int length = compressor.compress(cbor, 0, cbor.length, packed, 0, packed.length);
    String text = Base64.getEncoder().encodeToString(Arrays.copyOf(packed, length));
    return Json.object().put(PACKED, text);
  }

  /** The plain record of a compact form. */
  public static JsonNode unpack(JsonNode compact) throws MalformedRecord {
    byte[] packed = bytes(compact.path(PACKED));
    byte[] cbor = decompressed(packed);
    JsonNode plain = Json.readCbor(cbor);
    if (plain == null || !plain.isObject()) {
      throw new MalformedRecord(PACKED, "does not hold a record");
    }
    return plain;
  }

  private static byte[] bytes(JsonNode text) throws MalformedRecord {
    try {
      return Base64.getDecoder().decode(text.asText());
    } catch (IllegalArgumentException e) {
      throw new MalformedRecord(PACKED, "is not in base 64");
    }
  }

  private static byte[] decompressed(byte[] packed) throws MalformedRecord {
    try {
      long size = ZstdDecompressor.getDecompressedSize(packed, 0, packed.length);
      if (size < 0 || size > MOST_HINT_BYTES) {
        throw new MalformedRecord(PACKED, "would take " + size + " bytes");
      }
      byte[] cbor = new byte[(int) size];
      new ZstdDecompressor().decompress(packed, 0, packed.length, cbor, 0, cbor.length);
      return cbor;
    } catch (MalformedInputException | IndexOutOfBoundsException | IllegalArgumentException e) {
      throw new MalformedRecord(PACKED, "can't be decompressed: " + e.getMessage());
    }
  }
}
