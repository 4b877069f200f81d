/**
 * Storage that outlives a process: a log replicated by a majority of its members, and a store of
 * one content that a crash never leaves torn.
 */
package tinford.fleet.store;
