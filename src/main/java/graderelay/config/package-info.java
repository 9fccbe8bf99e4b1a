/**
 * The configuration of a controller: the platform's settings file, the program's options file and
 * the operators' settings, which are kept in the key-value store. Each is validated field by field.
 * Also the configuration of logging.
 */
package graderelay.config;
