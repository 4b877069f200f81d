/**
 * Operator files in TOML: a schema of typed keys, and readers that report all errors at once with
 * file, line, key and what was expected.
 */
package tinford.fleet.settings;
