/** The log on standard error, behind {@link java.lang.System.Logger} and JBoss Logging. */
package tinford.logging;
