package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.features.Feature;
import java.io.IOException;
import java.util.function.Function;

/**
 * The form of what passes between controllers: CBOR maps, whose fields {@link PeerRequestCodec} and
 * {@link PeerResponseCodec} know. The version in production reads and writes the same, see {@code
 * ProductionFormatsTest}, so no name may change; whoever adds a field must take its absence for
 * "not granted".
 */
public final class PeerCodec {
  /** Wire name of the bytes of a request or an answer that is passed on. */
  static final String BODY = "body";

  /** Wire name of the feature level that the sender takes for the cluster's. */
  private static final String FEATURE_LEVEL = "level";

  private PeerCodec() {}

  // ---------------------------------------------------------------- requests

  /** The bytes of a request in a cluster below the first feature level. */
  public static byte[] encodeRequest(PeerRequest request) {
    return encodeRequest(request, Feature.BASE_LEVEL);
  }

  /**
   * The bytes of a request. A cluster below the first feature level sends just what versions before
   * feature levels do.
   */
  public static byte[] encodeRequest(PeerRequest request, int featureLevel) {
    ObjectNode n = PeerRequestCodec.encode(request);
    if (featureLevel > Feature.BASE_LEVEL) {
      n.put(FEATURE_LEVEL, featureLevel);
    }
    return Json.writeCbor(n);
  }

  /**
   * A request with what its sender knows.
   *
   * @param request null if it is none that this version knows
   * @param featureLevel the level that the sender takes for the cluster's
   */
  public record Envelope(PeerRequest request, int featureLevel) {}

  /** Reads a request and its sender's feature level in one pass. */
  public static Envelope decodeEnvelope(byte[] bytes) {
    JsonNode n = Json.readCbor(bytes);
    return n == null
        ? new Envelope(null, Feature.BASE_LEVEL)
        : new Envelope(PeerRequestCodec.decode(n), n.path(FEATURE_LEVEL).asInt(Feature.BASE_LEVEL));
  }

  /** The request, or null if these bytes are none that this version knows. */
  public static PeerRequest decodeRequest(byte[] bytes) {
    return decodeEnvelope(bytes).request();
  }

  // ---------------------------------------------------------------- answers

  /** The bytes of an answer. */
  public static byte[] encodeResponse(PeerResponse response) {
    return Json.writeCbor(PeerResponseCodec.encode(response));
  }

  /** The answer to a request for a pledge, or null if these bytes are none. */
  public static PeerResponse.PledgeResponse decodePledgeResponse(byte[] bytes) {
    return decode(bytes, PeerResponseCodec::decodePledgeResponse);
  }

  /** The answer to the offer of a share, or null if these bytes are none. */
  public static PeerResponse.ShareResponse decodeShareResponse(byte[] bytes) {
    return decode(bytes, PeerResponseCodec::decodeShareResponse);
  }

  /** The answer to the request for the identity of a process, or null if these bytes are none. */
  public static PeerResponse.IdentifyResponse decodeIdentifyResponse(byte[] bytes) {
    return decode(bytes, PeerResponseCodec::decodeIdentifyResponse);
  }

  /** The answer to a handover, or null if these bytes are none. */
  public static PeerResponse.HandoverResponse decodeHandoverResponse(byte[] bytes) {
    return decode(bytes, n -> new PeerResponse.HandoverResponse());
  }

  /** The answer to a request for a delegation, or null if these bytes are none. */
  public static PeerResponse.DelegationResponse decodeDelegationResponse(byte[] bytes) {
    return decode(bytes, PeerResponseCodec::decodeDelegationResponse);
  }

  /** What the sender of a request that was passed on is to be told, or null if that is not here. */
  public static PeerResponse.RelayedResponse decodeRelayedResponse(byte[] bytes) {
    return decode(bytes, PeerResponseCodec::decodeRelayedResponse);
  }

  private static <T> T decode(byte[] bytes, Function<JsonNode, T> decoder) {
    JsonNode n = Json.readCbor(bytes);
    return n == null ? null : decoder.apply(n);
  }

  /** The bytes that a message passes on; none if the field is absent or has no bytes. */
  static byte[] decodeBody(JsonNode n) {
    try {
      byte[] body = n.path(BODY).binaryValue();
      return body == null ? new byte[0] : body;
    } catch (IOException e) {
      return new byte[0];
    }
  }
}
