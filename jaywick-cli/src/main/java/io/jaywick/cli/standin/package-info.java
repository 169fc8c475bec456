/** Runs the stand-ins of the platform in a process of their own, so that nodes can be run as separate processes. */
package io.jaywick.cli.standin;
