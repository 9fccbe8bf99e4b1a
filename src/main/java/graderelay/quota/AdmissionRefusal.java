package graderelay.quota;

/**
 * Why nothing of a team may be claimed at the moment.
 *
 * @param reason a text for operators and users
 * @param temporary true if it is over by itself within about a round trip to the key-value store;
 *     false if operators have to mend a record first
 */
public record AdmissionRefusal(String reason, boolean temporary) {}
