/**
 * Quotas of teams that hold on every controller at once: the limits of each team, an account that
 * reserves room for its committed claims, and the rules by which the leader changes both. Pure:
 * nothing here reads a clock, waits or touches a socket, and nothing of the other packages is used.
 */
package graderelay.quota;
