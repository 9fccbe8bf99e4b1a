/**
 * Replicated state of the controllers: a client of the key-value store that keeps within this
 * controller's share of the store's request rates ({@link graderelay.state.StateClient}), a cache
 * of all stored records that a watch keeps up to date ({@link graderelay.state.Cache}), leader
 * election ({@link graderelay.state.Leadership}), and the job cancellations that this controller
 * has learned of ({@link graderelay.state.Cancellations}).
 */
package graderelay.state;
