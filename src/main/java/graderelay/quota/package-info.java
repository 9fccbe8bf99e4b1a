/**
 * Team quotas that are enforced across controllers: the limits of each team, an account that
 * reserves capacity for its committed claims, and the rules by which the leader changes both. The
 * code has no side effects: it reads no clock, does not block, performs no I/O and depends on no
 * other package.
 */
package graderelay.quota;
