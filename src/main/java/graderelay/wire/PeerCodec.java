package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.features.Feature;
import java.io.IOException;
import java.util.function.Function;

/**
 * Encodes and decodes messages between controllers as CBOR maps. {@link PeerRequestCodec} and
 * {@link PeerResponseCodec} define their fields. The format is compatible with the version in
 * production, see {@code ProductionFormatsTest}: no name may change, and the absence of a new field
 * must mean "not granted".
 */
public final class PeerCodec {
  /** Wire name of the body of a relayed request or response. */
  static final String BODY = "body";

  /** Wire name of the feature level of the cluster as the sender has read it. */
  private static final String FEATURE_LEVEL = "level";

  private PeerCodec() {}

  // ---------------------------------------------------------------- requests

  /** Encodes a request in a cluster at the base feature level. */
  public static byte[] encodeRequest(PeerRequest request) {
    return encodeRequest(request, Feature.BASE_LEVEL);
  }

  /**
   * Encodes a request. In a cluster at the base feature level, the bytes are identical to those of
   * versions without feature levels.
   */
  public static byte[] encodeRequest(PeerRequest request, int featureLevel) {
    ObjectNode n = PeerRequestCodec.encode(request);
    if (featureLevel > Feature.BASE_LEVEL) {
      n.put(FEATURE_LEVEL, featureLevel);
    }
    return Json.writeCbor(n);
  }

  /**
   * A request with its sender's feature level.
   *
   * @param request null if this version does not support the request
   * @param featureLevel the feature level of the cluster as the sender has read it
   */
  public record Envelope(PeerRequest request, int featureLevel) {}

  /** Decodes a request and its sender's feature level. */
  public static Envelope decodeEnvelope(byte[] bytes) {
    JsonNode n = Json.readCbor(bytes);
    return n == null
        ? new Envelope(null, Feature.BASE_LEVEL)
        : new Envelope(PeerRequestCodec.decode(n), n.path(FEATURE_LEVEL).asInt(Feature.BASE_LEVEL));
  }

  /**
   * Decodes a request; returns null if this version does not support it or the bytes are not CBOR.
   */
  public static PeerRequest decodeRequest(byte[] bytes) {
    return decodeEnvelope(bytes).request();
  }

  // ---------------------------------------------------------------- responses

  /** Encodes a response. */
  public static byte[] encodeResponse(PeerResponse response) {
    return Json.writeCbor(PeerResponseCodec.encode(response));
  }

  /** Decodes the response to a request for a pledge; returns null if the bytes are not CBOR. */
  public static PeerResponse.PledgeResponse decodePledgeResponse(byte[] bytes) {
    return decode(bytes, PeerResponseCodec::decodePledgeResponse);
  }

  /** Decodes the response to an offer of write capacity; returns null if the bytes are not CBOR. */
  public static PeerResponse.LendWriteCapacityResponse decodeLendWriteCapacityResponse(
      byte[] bytes) {
    return decode(bytes, PeerResponseCodec::decodeLendWriteCapacityResponse);
  }

  /**
   * Decodes the response to a request for the identity of a process; returns null if it has none.
   */
  public static PeerResponse.IdentifyResponse decodeIdentifyResponse(byte[] bytes) {
    return decode(bytes, PeerResponseCodec::decodeIdentifyResponse);
  }

  /** Decodes the response to a handover; returns null if the bytes are not CBOR. */
  public static PeerResponse.HandoverResponse decodeHandoverResponse(byte[] bytes) {
    return decode(bytes, n -> new PeerResponse.HandoverResponse());
  }

  /** Decodes the response to a delegation request; returns null if the bytes are not CBOR. */
  public static PeerResponse.DelegationResponse decodeDelegationResponse(byte[] bytes) {
    return decode(bytes, PeerResponseCodec::decodeDelegationResponse);
  }

  /** Decodes the response to a relayed request; returns null if it has no status. */
  public static PeerResponse.RelayedResponse decodeRelayedResponse(byte[] bytes) {
    return decode(bytes, PeerResponseCodec::decodeRelayedResponse);
  }

  private static <T> T decode(byte[] bytes, Function<JsonNode, T> decoder) {
    JsonNode n = Json.readCbor(bytes);
    return n == null ? null : decoder.apply(n);
  }

  /** Decodes the body of a relayed message, which is empty if the field is absent or not binary. */
  static byte[] decodeBody(JsonNode n) {
    try {
      byte[] body = n.path(BODY).binaryValue();
      return body == null ? new byte[0] : body;
    } catch (IOException e) {
      return new byte[0];
    }
  }
}
