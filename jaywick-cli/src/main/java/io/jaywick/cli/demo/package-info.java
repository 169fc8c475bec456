/**
 * The demonstration: a fleet on loopback whose promises are checked only against what callers, targets and nodes
 * observed.
 */
package io.jaywick.cli.demo;
