/** Runs the platform's stand-ins as a process of their own, so that nodes can be run as separate processes. */
package io.jaywick.cli.standin;
