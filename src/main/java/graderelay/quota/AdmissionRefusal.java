package graderelay.quota;

/**
 * The reason why a team may not claim anything at the moment.
 *
 * @param reason text for operators and users
 * @param temporary true if it resolves by itself within about one round trip to the key-value
 *     store; false if operators have to repair a record first
 */
public record AdmissionRefusal(String reason, boolean temporary) {}
