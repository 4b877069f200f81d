/**
 * Settings files that operators write in TOML: schemas of typed keys, and a parser that reports all
 * errors at once, each with file, line, key and what was expected.
 */
package tinford.fleet.settings;
