package graderelay.features;

/** Why a controller keeps the cluster from a higher feature level. */
public record Blocker(String member, String reason) {
  @Override
  public String toString() {
    return member + " " + reason;
  }
}
