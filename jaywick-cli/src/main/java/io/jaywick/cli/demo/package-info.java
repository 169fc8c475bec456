/** The demonstration: a whole fleet on loopback, with an observer that sees only what callers, targets and nodes saw. */
package io.jaywick.cli.demo;
