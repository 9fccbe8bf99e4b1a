package graderelay.quota;

/**
 * Why nothing of a team may be claimed at the moment.
 *
 * @param passing it is over by itself within about a round trip to the state service
 */
public record Obstacle(String reason, boolean passing) {}
