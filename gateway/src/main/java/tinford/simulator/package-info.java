/**
 * Runs the decision modules of simulated gateways on the simulator's protocol: JSON messages, one
 * per line, on standard input and output. The protocol's names are used in this package only.
 */
package tinford.simulator;
