/**
 * What a controller is configured with: the platform's file, the program's own options, and the
 * operators' settings that are kept in the key-value store, each checked field by field; and the
 * set-up of logging.
 */
package graderelay.config;
