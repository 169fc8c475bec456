/**
 * Stand-in of a target with slots, cold start, draining, load shedding and crashes. It records which requests ran.
 */
package io.jaywick.standin.target;
