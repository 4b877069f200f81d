/** Logging to standard error, used through {@link java.lang.System.Logger} and JBoss Logging. */
package tinford.logging;
